#include "command_table.h"

#include <array>
#include <exception>

#include "certificate.h"
#include "edit_runner.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/reference.h"
#include "log_commands.h"
#include "node_commands.h"
#include "tree_commands.h"
#include "watch_command.h"

namespace gaugevalve::ctl {
namespace {

constexpr bool kNeedsStore = true;
constexpr bool kNoStore = false;
constexpr std::size_t kMostFiles = 100'000;

ExitCode PrintReference(const CommandContext& context, const std::vector<std::string>& /*none*/) {
  const std::string text = settings::SettingsReference();
  context.Print(text, {{"markdown", text}});
  return ExitCode::kOk;
}

constexpr std::array<Command, 18> kCommands{{
    {"tree get", "[PATH]", 0, 1, kNeedsStore, &TreeGet,
     "shows what is set at a path; with --effective what is in force and where it comes from"},
    {"tree set", "PATH VALUE", 2, 2, kNeedsStore, &TreeSet,
     "sets a field, or puts a branch given as YAML"},
    {"tree unset", "PATH", 1, 1, kNeedsStore, &TreeUnset,
     "removes a field's setting or a whole branch"},
    {"tree apply", "FILE", 1, 1, kNeedsStore, &TreeApply,
     "puts the tree in a file (- for standard input) in the place of the stored one"},
    {"tree diff", "FILE", 1, 1, kNeedsStore, &TreeDiff, "shows what apply would change"},
    {"tree history", "", 0, 0, kNeedsStore, &TreeHistory, "shows the last edits"},
    {"tree undo", "REVISION", 1, 1, kNeedsStore, &TreeUndo,
     "takes back what that edit changed, unless it was changed again since"},
    {"tree export", "", 0, 0, kNeedsStore, &TreeExport, "prints the whole tree as YAML"},
    {"check", "FILE", 1, 1, kNoStore, &CheckFile, "reports the findings of a tree in a file"},
    {"drain", "ENDPOINT|ZONE", 1, 1, kNeedsStore, &Drain,
     "stops new work to an endpoint (service/endpoint) or a zone (region/zone)"},
    {"undrain", "ENDPOINT|ZONE", 1, 1, kNeedsStore, &Undrain, "lets it take new work again"},
    {"status", "", 0, 0, kNoStore, &Status,
     "asks the nodes of --node which revision each has in force and who holds the lease; names who "
     "is behind and which balancers were not asked"},
    {"explain", "SERVICE SOURCE", 2, 2, kNoStore, &Explain,
     "asks the nodes of --node why a datagram service's flow from this source IP:port goes where "
     "it goes"},
    {"explain-log", "CLIENT FILE...", 2, kMostFiles, kNoStore, &ExplainLog,
     "tells the story of the flow from this client IP:port from nodes' logs (- for standard "
     "input), "
     "in the order of time and with what each node knew"},
    {"watch", "", 0, 0, kNeedsStore, &WatchTree, "shows edits as they are committed"},
    {"certificate self-signed", "HOST CERTIFICATE_FILE KEY_FILE", 3, 3, kNoStore,
     &CertificateSelfSigned, "writes a certificate and key for trying an http3 service"},
    {"reference", "", 0, 0, kNoStore, &PrintReference, "prints the settings reference"},
    {"help", "", 0, 0, kNoStore,
     [](const CommandContext& context, const std::vector<std::string>& /*none*/) {
       context.Print(UsageText(), {{"usage", UsageText()}});
       return ExitCode::kOk;
     },
     "prints this text"},
}};

// Returns how many of the typed words the command's own words take, or 0 when it isn't meant.
std::size_t MatchedWords(const Command& command, const std::vector<std::string>& words) {
  std::string typed;
  for (std::size_t count = 1; count <= words.size(); ++count) {
    typed += (typed.empty() ? "" : " ") + words[count - 1];
    if (typed == command.words) {
      return count;
    }
  }
  return 0;
}

ExitCode RunMatched(const CommandContext& context, const Command& command,
                    const std::vector<std::string>& arguments) {
  if (arguments.size() < command.minimum_arguments ||
      arguments.size() > command.maximum_arguments) {
    context.err << "usage: gaugevalvectl " << command.words << " " << command.arguments << "\n";
    return ExitCode::kUsage;
  }
  if (command.needs_store && context.options.store_endpoints.empty()) {
    context.err << "--store: give the address of the store, as in --store=192.0.2.1:2379\n";
    return ExitCode::kFindings;
  }
  return command.run(context, arguments);
}

}  // namespace

std::span<const Command> Commands() { return kCommands; }

std::string UsageText() {
  std::string text =
      "the operators' command line.\n"
      "gaugevalvectl [--store=IP:PORT,...] [--node=IP:PORT,...] [FLAGS] COMMAND\n";
  for (const Command& command : kCommands) {
    text += "  " + std::string(command.words);
    text += command.arguments.empty() ? "" : " " + std::string(command.arguments);
    text += "\n      " + std::string(command.description) + "\n";
  }
  text +=
      "Exit codes:\n"
      "  0 done\n"
      "  1 wrong command line (and --help), or an unexpected error\n"
      "  2 findings; nothing was changed\n"
      "  3 another edit came first; nothing was changed\n"
      "  4 the store is away; nothing was changed\n"
      "  5 the outcome of the edit is not known\n"
      "  6 a node is behind, silent or was not asked\n"
      "  7 no node answered\n"
      "  8 the logs say nothing of the flow\n"
      "`gaugevalvectl --help` lists the flags too.\n";
  return text;
}

ExitCode RunCommand(const CommandContext& context, const std::vector<std::string>& words) {
  try {
    for (const Command& command : kCommands) {
      const std::size_t matched = MatchedWords(command, words);
      if (matched > 0) {
        const auto first_argument = words.begin() + static_cast<std::ptrdiff_t>(matched);
        return RunMatched(context, command, {first_argument, words.end()});
      }
    }
    context.err << UsageText();
    return ExitCode::kUsage;
  } catch (const base::FindingsError& error) {
    context.err << error.what();
    return ExitCode::kFindings;
  } catch (const StoreAwayError& error) {
    context.err << error.what() << "\n";  // it ends by saying that nothing was changed
    return ExitCode::kStoreAway;
  } catch (const std::exception& error) {
    context.err << error.what() << "\n";
    return ExitCode::kUsage;
  }
}

}  // namespace gaugevalve::ctl
