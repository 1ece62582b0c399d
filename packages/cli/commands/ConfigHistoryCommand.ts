import { Command } from "clipanion";
import type { HistoryRecord } from "@clementinemux/control/HistoryRecord";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { formatTable } from "../formatTable";

/** `config history`. */
export class ConfigHistoryCommand extends ControlCommand {
  static override paths = [["config", "history"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "list the accepted changes",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const body = (await client.get("/v1/config/history")) as { readonly history: readonly HistoryRecord[] };
    this.print(body.history, () =>
      formatTable(
        ["REVISION", "ACCEPTED", "AUTHOR", "CHANGE"],
        body.history.map(({ revision, author, atMs, change }) => [
          String(revision),
          new Date(atMs).toISOString(),
          author,
          change.kind,
        ]),
      ),
    );
    return ExitCode.Done;
  }
}
