import { Command } from "clipanion";
import type { RankGroupStatus } from "@clementinemux/agent/lead/RankGroupStatus";
import { formatRankBars } from "@clementinemux/experts/preview/formatRankBars";
import { CliError } from "../CliError";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { GroupCommand } from "./GroupCommand";

/** `group show`. */
export class GroupShowCommand extends GroupCommand {
  static override paths = [["group", "show"]];
  static override usage = Command.Usage({
    category: "Groups",
    description: "show the loads of a group's ranks, its map, its leader and its slow ranks",
    details: "The bars are the tokens per second of each rank over all layers; the mark is the mean.",
    examples: [
      ["Show a group", "$0 group show large-1"],
      ["Read the skew in a script", "$0 group show large-1 --json | jq .report.skew"],
    ],
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const leader = await this.findLeader(client);
    const response = (await this.requestLeader("GET", leader, "/agent/group")).body as RankGroupStatus;
    if (response.report === null) {
      throw new CliError(
        ExitCode.Unreachable,
        `${leader.target} is no longer the leader of group "${this.group}"; try again`,
      );
    }
    this.print(response, () => formatGroup(response));
    return ExitCode.Done;
  }
}

function formatGroup({ group, lead, leadAddress, epoch, report }: RankGroupStatus): string {
  const lines = [`group ${group}: lead ${lead} at ${leadAddress}, epoch ${epoch}`];
  if (report?.mapVersion === undefined || report.mapVersion === null) {
    return [...lines, "the leader has not taken over yet"].join("\n");
  }
  const { phase, mapVersion, skew, rankLoads, slowRanks, suggestDrain, lastPlan } = report;
  lines.push(`map version ${mapVersion}, ${phase ?? "starting"}, skew ${skew.toFixed(3)}`);
  lines.push(formatRankBars(rankLoads));
  lines.push(
    slowRanks.length === 0 ? "no slow ranks" : `slow ranks, to be replaced: ${slowRanks.join(", ")}`,
  );
  if (suggestDrain) {
    lines.push("slow ranks waste more capacity than the group provides: drain it");
  }
  lines.push(
    lastPlan === null ? "no plan yet" : `last plan: ${lastPlan.reason}, ${lastPlan.moves.length} moves`,
  );
  lines.push(...formatCounts("rejected orders", report.refusedOrders));
  lines.push(...formatCounts("dropped load reports", report.droppedReports));
  return lines.join("\n");
}

function formatCounts(title: string, counts: Readonly<Record<string, number>>): string[] {
  const entries = Object.entries(counts).map(([reason, count]) => `${reason} ${count}`);
  return entries.length === 0 ? [] : [`${title}: ${entries.join(", ")}`];
}
