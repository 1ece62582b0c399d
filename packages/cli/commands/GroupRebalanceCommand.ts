import { Command, Option } from "clipanion";
import type { RebalanceResponse } from "@clementinemux/agent/lead/RebalanceResponse";
import { formatPlan } from "@clementinemux/experts/preview/formatPlan";
import { CliError } from "../CliError";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { GroupCommand } from "./GroupCommand";

/** `group rebalance`. */
export class GroupRebalanceCommand extends GroupCommand {
  static override paths = [["group", "rebalance"]];
  static override usage = Command.Usage({
    category: "Groups",
    description: "let the leader of a group plan a map now, or show what it would do",
    details:
      "The plan lists the current and the predicted skew, the moves with their bytes and time, the requests they delay, and the reason. Exit code 4: the leader is busy with another map, or the group does not exist.",
    examples: [
      ["Show what a plan would do", "$0 group rebalance large-1 --dry-run"],
      ["Plan now, and activate the map if its gain exceeds its cost", "$0 group rebalance large-1"],
      ["Read the predicted skew", "$0 group rebalance large-1 --dry-run --json | jq .plan.predictedSkew"],
    ],
  });

  dryRun = Option.Boolean("--dry-run", false, { description: "show the plan without applying it" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const leader = await this.findLeader(client);
    const path = this.dryRun ? "/agent/group/rebalance?dryRun=1" : "/agent/group/rebalance";
    const { status, body } = await this.requestLeader("POST", leader, path);
    const { plan, started, refusal } = body as Partial<RebalanceResponse>;
    if (status !== 200 || plan === undefined || plan === null) {
      const isReplaced = status === 421;
      const reason = isReplaced ? "it is no longer the leader; try again" : (refusal ?? `status ${status}`);
      throw new CliError(
        isReplaced ? ExitCode.Unreachable : ExitCode.Refused,
        `${leader.target} did not plan a map for group "${this.group}": ${reason}`,
      );
    }
    const outcome = this.dryRun
      ? "dry run"
      : started === true
        ? "the lead activates the map"
        : "nothing to do";
    this.print(body, () => `${formatPlan(this.group, plan)}\n${outcome}`);
    return ExitCode.Done;
  }
}
