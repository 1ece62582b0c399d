import { Builtins, Cli } from "clipanion";
import { ConfigApplyCommand } from "./commands/ConfigApplyCommand";
import { ConfigDiffCommand } from "./commands/ConfigDiffCommand";
import { ConfigHistoryCommand } from "./commands/ConfigHistoryCommand";
import { ConfigSetCommand } from "./commands/ConfigSetCommand";
import { ConfigShowCommand } from "./commands/ConfigShowCommand";
import { EvacuationEndCommand } from "./commands/EvacuationEndCommand";
import { EvacuationListCommand } from "./commands/EvacuationListCommand";
import { EvacuationStartCommand } from "./commands/EvacuationStartCommand";
import { ExceptionAddCommand } from "./commands/ExceptionAddCommand";
import { ExceptionListCommand } from "./commands/ExceptionListCommand";
import { ExceptionRemoveCommand } from "./commands/ExceptionRemoveCommand";
import { ExplainCommand } from "./commands/ExplainCommand";
import { GroupRebalanceCommand } from "./commands/GroupRebalanceCommand";
import { GroupShowCommand } from "./commands/GroupShowCommand";
import { StatusCommand } from "./commands/StatusCommand";
import { TargetDrainCommand } from "./commands/TargetDrainCommand";
import { TargetListCommand } from "./commands/TargetListCommand";
import { TargetUndrainCommand } from "./commands/TargetUndrainCommand";

const commands = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ConfigApplyCommand,
  ConfigDiffCommand,
  ConfigHistoryCommand,
  ConfigSetCommand,
  ConfigShowCommand,
  EvacuationEndCommand,
  EvacuationListCommand,
  EvacuationStartCommand,
  ExceptionAddCommand,
  ExceptionListCommand,
  ExceptionRemoveCommand,
  ExplainCommand,
  GroupRebalanceCommand,
  GroupShowCommand,
  StatusCommand,
  TargetDrainCommand,
  TargetListCommand,
  TargetUndrainCommand,
] as const;

/** Creates the command line for operators. */
export function createCli(): Cli {
  const cli = new Cli({ binaryLabel: "clementinemux", binaryName: "clementinemux", binaryVersion: "0.1.0" });
  for (const command of commands) {
    cli.register(command);
  }
  return cli;
}
