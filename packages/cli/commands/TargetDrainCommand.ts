import { Command, Option } from "clipanion";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { ControlCommand } from "../ControlCommand";
import type { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";

/** `target drain`. */
export class TargetDrainCommand extends ControlCommand {
  static override paths = [["target", "drain"]];
  static override usage = Command.Usage({
    category: "Targets",
    description: "stop new requests to a target; requests in flight continue",
    details: "The drain is stored under the target's name and stays in effect after the target restarts.",
    examples: [["Drain one", '$0 target drain runner-7 --reason "Fan replaced on Tuesday"']],
  });

  target = Option.String({ name: "target" });
  reason = Option.String("--reason", { required: true });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const { revision } = await client.getConfig();
    return this.propose(client, revision, {
      kind: ConfigChangeKind.DrainTarget,
      target: this.target,
      drain: { reason: this.reason, author: this.author, sinceMs: Date.now() },
    });
  }
}
