import { Command } from "clipanion";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";

/** `status`. */
export class StatusCommand extends ControlCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "show control's replicas, leader, revision and whether it is in force",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const status = await client.get("/v1/status");
    this.print(status, () => JSON.stringify(status, null, 2));
    return ExitCode.Done;
  }
}
