import { Command } from "clipanion";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { formatTable } from "../formatTable";

interface ControlStatus {
  readonly name: string;
  readonly confirmed: boolean;
  readonly revision: number;
  readonly leaseholders: number;
  readonly groups: readonly {
    readonly name: string;
    readonly role: string;
    readonly term: number;
    readonly leader: string | null;
    readonly hasLease: boolean;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly membership: {
      readonly voters: Readonly<Record<string, { readonly address: string }>>;
      readonly learners: Readonly<Record<string, { readonly address: string }>>;
    };
  }[];
}

/** `status`. */
export class StatusCommand extends ControlCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "show the Raft groups as seen by the replica that responds, and its revision",
  });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const status = (await client.get("/v1/status")) as ControlStatus;
    this.print(status, () => formatStatus(status));
    return ExitCode.Done;
  }
}

function formatStatus({ name, confirmed, revision, leaseholders, groups }: ControlStatus): string {
  const confirmation = confirmed ? "confirmed by the leader" : "not confirmed by the leader";
  const rows = groups.map(({ name: group, role, term, leader, hasLease, ...log }) => {
    const { voters, learners } = log.membership;
    return [
      group,
      hasLease ? `${role} with lease` : role,
      leader === null ? "none" : (voters[leader]?.address ?? leader),
      String(term),
      `${log.appliedIndex}/${log.commitIndex}`,
      String(Object.keys(voters).length),
      String(Object.keys(learners).length),
    ];
  });
  return [
    `${name}: revision ${revision}, ${confirmation}, ${leaseholders} leaseholders at this relay`,
    formatTable(["GROUP", "ROLE", "LEADER", "TERM", "APPLIED/COMMITTED", "VOTERS", "LEARNERS"], rows),
  ].join("\n");
}
