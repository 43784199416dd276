#ifndef CHICORYVALE_TESTS_FAKES_MAIN_CONTEXT_H_
#define CHICORYVALE_TESTS_FAKES_MAIN_CONTEXT_H_

#include <glib.h>

#include <functional>

namespace chicoryvale {

/// Runs the default main context, blocking for events, until `done` returns
/// true. There is no timeout: if the event never occurs, the wait ends with the
/// time limit of the test program.
inline void IterateUntil(const std::function<bool()>& done) {
  while (!done()) g_main_context_iteration(nullptr, TRUE);
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_MAIN_CONTEXT_H_
