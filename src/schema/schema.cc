#include "schema/schema.h"

#include <google/protobuf/compiler/importer.h>
#include <google/protobuf/descriptor_database.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <utility>

#include "schema/schema_builder.h"

namespace chicoryvale {
namespace {

namespace pb = google::protobuf;

constexpr char kSchemaFile[] = "schema.proto";

// Source tree with one file: the schema text in memory.
class TextSourceTree : public pb::compiler::SourceTree {
 public:
  explicit TextSourceTree(const std::string& text) : m_text(text) {}

  pb::io::ZeroCopyInputStream* Open(const std::string& filename) override {
    if (filename != kSchemaFile) return nullptr;
    return new pb::io::ArrayInputStream(m_text.data(),
                                        static_cast<int>(m_text.size()));
  }

 private:
  const std::string& m_text;
};

// Collects the errors of the parser, each with its line and column.
class ErrorCollector : public pb::compiler::MultiFileErrorCollector {
 public:
  void AddError(const std::string& filename, int line, int column,
                const std::string& message) override {
    // The parser counts from 0, and passes -1 for an error of the whole file.
    m_text += filename + ":" + std::to_string(line + 1) + ":" +
              std::to_string(column + 1) + ": " + message + "\n";
  }

  [[nodiscard]] const std::string& Text() const { return m_text; }

 private:
  std::string m_text;
};

}  // namespace

// The parsed schema file. Options and well-known types are resolved from the
// messages that are linked into the program.
struct Schema::Pool {
  explicit Pool(const std::string& text)
      : tree(text),
        linked_database(*pb::DescriptorPool::generated_pool()),
        database(&tree, &linked_database),
        pool(&database, database.GetValidationErrorCollector()) {
    database.RecordErrorsTo(&errors);
    pool.EnforceWeakDependencies(true);
  }

  TextSourceTree tree;
  ErrorCollector errors;
  pb::DescriptorPoolDatabase linked_database;
  pb::compiler::SourceTreeDescriptorDatabase database;
  pb::DescriptorPool pool;
  mutable pb::DynamicMessageFactory factory{&pool};
};

Schema::Schema() = default;
Schema::~Schema() = default;

Result<std::shared_ptr<const Schema>> Schema::Make(const std::string& text) {
  auto pool = std::make_unique<Pool>(text);
  const pb::FileDescriptor* file = pool->pool.FindFileByName(kSchemaFile);
  if (file == nullptr || !pool->errors.Text().empty()) {
    return MakeError(ErrorKind::kInvalidChange, pool->errors.Text());
  }
  SchemaBuilder builder(*file);
  Result<std::vector<ServiceSchema>> services = builder.Build();
  if (!services) return tl::unexpected(std::move(services.error()));
  std::shared_ptr<Schema> schema(new Schema());
  schema->m_pool = std::move(pool);
  schema->m_services = std::move(*services);
  return schema;
}

const ServiceSchema* Schema::FindService(std::string_view name) const {
  const auto found = std::ranges::find(m_services, name, &ServiceSchema::name);
  return found == m_services.end() ? nullptr : &*found;
}

std::unique_ptr<pb::Message> Schema::NewMessage(
    const pb::Descriptor* type) const {
  return std::unique_ptr<pb::Message>(
      m_pool->factory.GetPrototype(type)->New());
}

const MethodSchema* FindMethod(const ServiceSchema& service,
                               std::string_view name) {
  const auto found =
      std::ranges::find(service.methods, name, &MethodSchema::name);
  return found == service.methods.end() ? nullptr : &*found;
}

}  // namespace chicoryvale
