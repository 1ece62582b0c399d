import { Command } from "clipanion";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { formatTable } from "../formatTable";

interface HistoryRecord {
  readonly revision: number;
  readonly author?: string;
  readonly acceptedAtMs?: number;
  readonly change: { readonly kind: string };
}

/** `config history`. */
export class ConfigHistoryCommand extends ControlCommand {
  static override paths = [["config", "history"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "list the accepted changes",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const records = (await client.get("/v1/config/history")) as readonly HistoryRecord[];
    this.print(records, () =>
      formatTable(
        ["REVISION", "ACCEPTED", "AUTHOR", "CHANGE"],
        records.map(({ revision, author, acceptedAtMs, change }) => [
          String(revision),
          acceptedAtMs === undefined ? "?" : new Date(acceptedAtMs).toISOString(),
          author ?? "?",
          change.kind,
        ]),
      ),
    );
    return ExitCode.Done;
  }
}
