import { Command } from "clipanion";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { formatTable } from "../formatTable";

/** `exception list`. */
export class ExceptionListCommand extends ControlCommand {
  static override paths = [["exception", "list"]];
  static override usage = Command.Usage({
    category: "Exceptions",
    description: "list the exceptions and their reasons",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { exceptions } = await client.getConfig();
    this.print(exceptions, () =>
      formatTable(
        ["ID", "APPLIES TO", "CHANGES", "EXPIRES", "AUTHOR", "REASON"],
        exceptions.map(({ id, selector, override, expiresAtMs, author, reason }) => [
          id,
          formatFields(selector),
          formatFields(override),
          expiresAtMs === null ? "never" : new Date(expiresAtMs).toISOString(),
          author,
          reason,
        ]),
      ),
    );
    return ExitCode.Done;
  }
}

function formatFields(fields: object): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([field, value]) => `${field}=${String(value)}`)
    .join(" ");
}
