import { Command, Option } from "clipanion";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { diffValues } from "../diffValues";
import { formatDifferences } from "../formatDifferences";
import { readDefaultsFile } from "../readDefaultsFile";

/** `config diff`. */
export class ConfigDiffCommand extends ControlCommand {
  static override paths = [["config", "diff"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "show what applying a file would change",
    examples: [["Compare", "$0 config diff defaults.jsonc"]],
  });

  file = Option.String({ name: "file" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const defaults = readDefaultsFile(this.file);
    const differences = diffValues((await client.getConfig()).defaults, defaults);
    this.print(differences, () => formatDifferences(differences));
    return ExitCode.Done;
  }
}
