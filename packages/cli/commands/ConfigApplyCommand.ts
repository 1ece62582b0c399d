import { Command, Option } from "clipanion";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { diffValues } from "../diffValues";
import { readDefaultsFile } from "../readDefaultsFile";

/** `config apply`. */
export class ConfigApplyCommand extends ControlCommand {
  static override paths = [["config", "apply"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "replace the defaults with those of a file",
    examples: [
      [
        "Apply a file if nothing has changed since revision 12",
        "$0 config apply defaults.jsonc --revision 12",
      ],
    ],
  });

  file = Option.String({ name: "file" });
  revision = Option.String("--revision", { description: "fail unless this is the current revision" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const defaults = readDefaultsFile(this.file);
    const config = await client.getConfig();
    if (diffValues(config.defaults, defaults).length === 0) {
      this.print(
        { revision: config.revision, changed: false },
        () => `nothing to change at revision ${config.revision}`,
      );
      return ExitCode.Done;
    }
    const baseRevision = this.revision === undefined ? config.revision : Number(this.revision);
    return this.propose(client, baseRevision, { kind: ConfigChangeKind.SetDefaults, defaults });
  }
}
