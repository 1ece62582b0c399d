import { Command } from "clipanion";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { formatTable } from "../formatTable";

/** `target list`. */
export class TargetListCommand extends ControlCommand {
  static override paths = [["target", "list"]];
  static override usage = Command.Usage({ category: "Targets", description: "list the announced targets" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const targets = (await client.get("/v1/targets")) as readonly TargetAnnouncement[];
    const { drains } = await client.getConfig();
    this.print(targets, () =>
      formatTable(
        ["TARGET", "KIND", "SERVES", "FAILURE DOMAIN", "GROUP", "RANK", "STATE"],
        targets.map((target) => [
          target.target,
          target.kind,
          target.service === "" ? target.models.join(",") : target.service,
          target.failureDomain,
          target.group === "" ? "-" : target.group,
          target.group === "" ? "-" : String(target.rank),
          target.target in drains ? "drained" : "announced",
        ]),
      ),
    );
    return ExitCode.Done;
  }
}
