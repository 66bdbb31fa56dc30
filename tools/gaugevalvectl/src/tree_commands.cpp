#include "tree_commands.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <system_error>

#include "drain_plan.h"
#include "edit_command.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/effective_settings.h"
#include "history_text.h"

namespace gaugevalve::ctl {
namespace {

using Arguments = std::vector<std::string>;

constexpr const char* kPathArgument = "path";

// Returns the content of a file, or of the standard input for "-".
std::string ReadInput(const std::string& name) {
  if (name == "-") {
    return {std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
  }
  std::ifstream stream(name, std::ios::binary);
  if (!stream) {
    throw base::FindingsError({{{name, 0, 0, ""}, "can't be read"}});
  }
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

base::Revision ParseRevision(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number == 0) {
    throw base::FindingsError({{{"revision", 0, 0, ""}, "'" + text + "' is no revision"}});
  }
  return base::Revision(number);
}

// An inherited field in force at an endpoint.
struct EffectiveField {
  std::string name;
  std::string value;
  std::string origin;
};

// Returns the inherited fields that the path asks for: the one that it names, or all.
std::vector<EffectiveField> EffectiveFields(const settings::EndpointSettings& endpoint,
                                            const settings::TreePath& path) {
  std::vector<EffectiveField> fields;
  for (const settings::FieldSchema& schema : settings::Schema()) {
    const bool is_wanted = !path.field || path.field == schema.id;
    if (schema.scope == settings::FieldScope::kInherited && is_wanted) {
      fields.push_back({std::string(schema.name),
                        settings::FormatFieldValue(schema, endpoint.ValueOf(schema.id)),
                        endpoint.DescribeOrigin(schema.id)});
    }
  }
  return fields;
}

std::string EffectiveText(const settings::EndpointSettings& endpoint,
                          const std::vector<EffectiveField>& fields) {
  std::ostringstream text;
  text << endpoint.service << "/" << endpoint.name << " in " << endpoint.region << "/"
       << endpoint.zone << ":\n";
  for (const EffectiveField& field : fields) {
    text << "  " << field.name << ": " << field.value << "  (" << field.origin << ")\n";
  }
  return text.str();
}

nlohmann::ordered_json EffectiveJson(const settings::EndpointSettings& endpoint,
                                     const std::vector<EffectiveField>& fields) {
  nlohmann::ordered_json json{{"service", endpoint.service},
                              {"region", endpoint.region},
                              {"zone", endpoint.zone},
                              {"endpoint", endpoint.name}};
  for (const EffectiveField& field : fields) {
    json["settings"][field.name] = {{"value", field.value}, {"origin", field.origin}};
  }
  return json;
}

// Returns whether the endpoint lies at or below the branch with these names.
bool IsBelow(const settings::TreePath& path, const settings::EndpointSettings& endpoint) {
  const std::vector<std::string> names{endpoint.service, endpoint.region, endpoint.zone,
                                       endpoint.name};
  return std::equal(path.names.begin(), path.names.end(), names.begin());
}

// Shows each endpoint's values with the branch that each came from.
void PrintEffective(const CommandContext& context, const settings::SettingsTree& tree,
                    const settings::TreePath& path) {
  std::string text;
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (const settings::ServiceSettings& service : settings::Resolve(tree).services) {
    for (const settings::EndpointSettings& endpoint : service.endpoints) {
      if (IsBelow(path, endpoint)) {
        const std::vector<EffectiveField> fields = EffectiveFields(endpoint, path);
        text += EffectiveText(endpoint, fields);
        json.push_back(EffectiveJson(endpoint, fields));
      }
    }
  }
  context.Print(text, json);
}

ExitCode EditDrain(const CommandContext& context, const Arguments& arguments, DrainWish wish) {
  const settings::StoredTree tree = MakeRunner(context).ReadTree();
  return MakeEdit(context, tree, PlanDrain(tree.tree, arguments.at(0), wish));
}

}  // namespace

ExitCode TreeGet(const CommandContext& context, const Arguments& arguments) {
  const std::string text = arguments.empty() ? "" : arguments.front();
  const settings::TreePath path = settings::TreePath::Parse(text, kPathArgument);
  const settings::StoredTree stored = MakeRunner(context).ReadTree();
  if (context.options.effective) {
    PrintEffective(context, stored.tree, path);
    return ExitCode::kOk;
  }
  const std::string value = settings::ReadPath(stored.tree, path);
  context.Print(
      value, {{"revision", stored.Revision().value()}, {"path", path.ToString()}, {"yaml", value}});
  return ExitCode::kOk;
}

ExitCode TreeSet(const CommandContext& context, const Arguments& arguments) {
  const settings::TreePath path = settings::TreePath::Parse(arguments.at(0), kPathArgument);
  const settings::StoredTree tree = MakeRunner(context).ReadTree();
  return MakeEdit(context, tree, {settings::SetOperation{path, arguments.at(1)}});
}

ExitCode TreeUnset(const CommandContext& context, const Arguments& arguments) {
  const settings::TreePath path = settings::TreePath::Parse(arguments.at(0), kPathArgument);
  const settings::StoredTree tree = MakeRunner(context).ReadTree();
  return MakeEdit(context, tree, {settings::UnsetOperation{path}});
}

ExitCode TreeApply(const CommandContext& context, const Arguments& arguments) {
  const std::string& file = arguments.at(0);
  settings::SettingsTree wanted = settings::ParseTree(ReadInput(file), file);
  const settings::StoredTree tree = MakeRunner(context).ReadTree();
  return MakeEdit(context, tree, {settings::ReplaceOperation{std::move(wanted)}});
}

ExitCode TreeDiff(const CommandContext& context, const Arguments& arguments) {
  const std::string& file = arguments.at(0);
  const settings::SettingsTree wanted = settings::ParseTree(ReadInput(file), file);
  const settings::StoredTree stored = MakeRunner(context).ReadTree();
  const std::vector<settings::TreeChange> changes = settings::DiffTrees(stored.tree, wanted);
  context.Print(settings::DescribeChanges(changes),
                {{"revision", stored.Revision().value()}, {"changes", ChangesToJson(changes)}});
  return ExitCode::kOk;
}

ExitCode TreeHistory(const CommandContext& context, const Arguments& /*arguments*/) {
  std::string text;
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (const settings::HistoryEntry& entry :
       MakeRunner(context).ReadRecentHistory(context.options.limit)) {
    text += HistoryToText(entry);
    json.push_back(HistoryToJson(entry));
  }
  context.Print(text, json);
  return ExitCode::kOk;
}

ExitCode TreeUndo(const CommandContext& context, const Arguments& arguments) {
  EditRunner runner = MakeRunner(context);
  const settings::HistoryEntry entry = runner.ReadHistory(ParseRevision(arguments.at(0)));
  return MakeEdit(context, runner.ReadTree(),
                  {settings::UndoOperation{settings::ChangesOf(entry)}});
}

ExitCode TreeExport(const CommandContext& context, const Arguments& /*arguments*/) {
  const settings::StoredTree stored = MakeRunner(context).ReadTree();
  const std::string yaml = settings::ExportTree(stored.tree);
  context.Print(yaml, {{"revision", stored.Revision().value()}, {"yaml", yaml}});
  return ExitCode::kOk;
}

ExitCode CheckFile(const CommandContext& context, const Arguments& arguments) {
  const std::string& file = arguments.at(0);
  const settings::SettingsTree tree = settings::ParseTree(ReadInput(file), file);
  std::size_t endpoints = 0;
  for (const settings::ServiceSettings& service : settings::Resolve(tree).services) {
    endpoints += service.endpoints.size();
  }
  const std::size_t services = tree.root.children.size();
  context.Print(file + ": good: " + std::to_string(services) + " services, " +
                    std::to_string(endpoints) + " endpoints\n",
                {{"status", "good"}, {"services", services}, {"endpoints", endpoints}});
  return ExitCode::kOk;
}

ExitCode Drain(const CommandContext& context, const Arguments& arguments) {
  return EditDrain(context, arguments, DrainWish::kDrain);
}

ExitCode Undrain(const CommandContext& context, const Arguments& arguments) {
  return EditDrain(context, arguments, DrainWish::kUndrain);
}

}  // namespace gaugevalve::ctl
