#ifndef CHICORYVALE_BENCH_PROCESSOR_TIME_H_
#define CHICORYVALE_BENCH_PROCESSOR_TIME_H_

#include <sys/resource.h>

namespace chicoryvale {

/// Returns the processor time that `who` (RUSAGE_SELF or RUSAGE_THREAD) has
/// used, in microseconds.
inline double ProcessorMicroseconds(int who) {
  rusage usage{};
  getrusage(who, &usage);
  constexpr double kMicrosecondsPerSecond = 1e6;
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * kMicrosecondsPerSecond +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_BENCH_PROCESSOR_TIME_H_
