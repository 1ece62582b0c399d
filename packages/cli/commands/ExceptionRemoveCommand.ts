import { Command, Option } from "clipanion";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { CliError } from "../CliError";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";

/** `exception remove`. */
export class ExceptionRemoveCommand extends ControlCommand {
  static override paths = [["exception", "remove"]];
  static override usage = Command.Usage({
    category: "Exceptions",
    description: "remove an exception",
    examples: [["Remove one", '$0 exception remove sale-week --reason "Sale has ended"']],
  });

  exceptionId = Option.String({ name: "id" });
  reason = Option.String("--reason", { required: true });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { revision, exceptions } = await client.getConfig();
    if (!exceptions.some(({ id }) => id === this.exceptionId)) {
      throw new CliError(
        ExitCode.Refused,
        `exception "${this.exceptionId}" does not exist at revision ${revision}`,
      );
    }
    return this.propose(client, revision, {
      kind: ConfigChangeKind.RemoveException,
      exceptionId: this.exceptionId,
      reason: this.reason,
    });
  }
}
