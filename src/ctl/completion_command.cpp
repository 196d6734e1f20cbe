/** @file completion_command.cpp Completion of the command line, made from the subcommands and options themselves. */

#include "ctl/ctl_func.h"

#include <CLI/CLI.hpp>

namespace Filbertlanding {

namespace {

    /** Subcommands and long options that may follow a subcommand. */
    std::string wordsOf(const CLI::App &command)
    {
        std::string words;
        for (const CLI::App *child : command.get_subcommands([](const CLI::App *) {
                 return true;
             })) {
            words += child->get_name() + " ";
        }
        for (const CLI::App *level = &command; level != nullptr; level = level->get_parent()) {
            for (const CLI::Option *option : level->get_options()) {
                for (const std::string &name : option->get_lnames()) {
                    words += "--" + name + " ";
                }
            }
        }
        return words;
    }

    /** Adds a case for the words after each subcommand, and collects the paths of all subcommands. */
    void describe(const CLI::App &command, const std::string &path, std::string &cases, std::string &paths)
    {
        cases += "    \"" + path + "\") words=\"" + wordsOf(command) + "\" ;;\n";
        for (const CLI::App *child : command.get_subcommands([](const CLI::App *) {
                 return true;
             })) {
            const std::string childPath = path + " " + child->get_name();
            paths += (paths.empty() ? "\"" : " | \"") + childPath + "\"";
            describe(*child, childPath, cases, paths);
        }
    }

    ResultCode writeBash(const CtlContext &context, const CLI::App &root)
    {
        std::string cases;
        std::string paths;
        describe(root, "", cases, paths);
        context.streams.out << "# bash completion of filbertctl; load it with: source <(filbertctl completion bash)\n"
                               "_filbertctl() {\n"
                               "    local path=\"\" words=\"\" i\n"
                               "    for ((i = 1; i < COMP_CWORD; i++)); do\n"
                               "        case \"$path ${COMP_WORDS[i]}\" in\n"
                               "        "
                            << paths
                            << ") path=\"$path ${COMP_WORDS[i]}\" ;;\n"
                               "        esac\n"
                               "    done\n"
                               "    case \"$path\" in\n"
                            << cases
                            << "    esac\n"
                               "    COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
                               "}\n"
                               "complete -o default -F _filbertctl filbertctl\n";
        return ResultCode::Ok;
    }

    void addCompletion(CLI::App &root, CtlContext &context)
    {
        CLI::App *completion = addCommand(root, "completion", "completion for a shell", "source <(filbertctl completion bash)");
        completion->require_subcommand(1);
        addCommand(*completion, "bash", "write the completion for bash", "source <(filbertctl completion bash)")->callback([&context, &root] {
            context.action = [&context, &root] {
                return writeBash(context, root);
            };
        });
    }

    const CtlRegistration Registered{"completion", addCompletion};

} // namespace

} // namespace Filbertlanding
