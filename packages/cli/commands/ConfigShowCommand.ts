import { Command } from "clipanion";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";

/** `config show`. */
export class ConfigShowCommand extends ControlCommand {
  static override paths = [["config", "show"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "print the current configuration",
    examples: [["Print it as JSON", "$0 config show --json"]],
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const config = await client.getConfig();
    this.print(config, () => {
      const { revision, defaults, exceptions, drains } = config;
      return [
        `revision ${revision}`,
        `defaults ${JSON.stringify(defaults, null, 2)}`,
        `${exceptions.length} exceptions (see: exception list)`,
        `drained targets: ${Object.keys(drains).join(", ") || "none"}`,
      ].join("\n");
    });
    return ExitCode.Done;
  }
}
