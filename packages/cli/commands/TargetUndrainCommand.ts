import { Command, Option } from "clipanion";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { CliError } from "../CliError";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";

/** `target undrain`. */
export class TargetUndrainCommand extends ControlCommand {
  static override paths = [["target", "undrain"]];
  static override usage = Command.Usage({
    category: "Targets",
    description: "let a drained target receive requests again",
  });

  target = Option.String({ name: "target" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { revision, drains } = await client.getConfig();
    if (!(this.target in drains)) {
      throw new CliError(ExitCode.Refused, `target "${this.target}" is not drained at revision ${revision}`);
    }
    return this.propose(client, revision, { kind: ConfigChangeKind.UndrainTarget, target: this.target });
  }
}
