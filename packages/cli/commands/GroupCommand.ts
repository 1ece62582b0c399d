import { Option } from "clipanion";
import { request as requestHttp } from "undici";
import type { RankGroupStatus } from "@clementinemux/agent/lead/RankGroupStatus";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { CliError } from "../CliError";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorResponse } from "../OperatorResponse";
import type { OperatorClient } from "../OperatorClient";
import { readBodyText } from "../readBodyText";

interface LeaderAddress {
  readonly target: string;
  readonly address: string;
}

const agentTimeoutMs = 2000;

/**
 * Base class of the commands that call the leader of a rank group, which is found through control and the
 * group's agents.
 */
export abstract class GroupCommand extends ControlCommand {
  group = Option.String({ name: "group" });

  /** Finds the leader through the agents of the group. Throws a CliError. */
  protected async findLeader(client: OperatorClient): Promise<LeaderAddress> {
    const targets = (await client.get("/v1/targets")) as readonly TargetAnnouncement[];
    const members = targets.filter(({ group }) => group === this.group);
    if (members.length === 0) {
      throw new CliError(ExitCode.Refused, `no target of group "${this.group}" is announced`);
    }
    const failures: string[] = [];
    for (const { target, address } of members) {
      try {
        const { status, body } = await this.sendRequest("GET", address, "/agent/group");
        const { lead, leadAddress } = (status === 200 ? body : {}) as Partial<RankGroupStatus>;
        if (lead !== undefined && leadAddress !== undefined && leadAddress !== "") {
          return { target: lead, address: leadAddress };
        }
        failures.push(`${target}: ${status === 200 ? "does not know the leader" : `status ${status}`}`);
      } catch (error) {
        failures.push(`${target}: ${error instanceof Error ? error.message : String(error)}`);
      }
    }
    const text = `no agent of group "${this.group}" knows the leader\n${failures.join("\n")}`;
    throw new CliError(ExitCode.Unreachable, text);
  }

  /** Sends a request to the leader. Throws a CliError if it does not respond. */
  protected async requestLeader(
    method: "GET" | "POST",
    { target, address }: LeaderAddress,
    path: string,
  ): Promise<OperatorResponse> {
    try {
      return await this.sendRequest(method, address, path);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new CliError(ExitCode.Unreachable, `no response from the leader ${target}: ${reason}`);
    }
  }

  protected async sendRequest(
    method: "GET" | "POST",
    address: string,
    path: string,
  ): Promise<OperatorResponse> {
    const response = await requestHttp(`http://${address}${path}`, {
      method,
      headersTimeout: agentTimeoutMs,
      bodyTimeout: agentTimeoutMs,
      signal: AbortSignal.timeout(agentTimeoutMs),
    });
    const body = JSON.parse(await readBodyText(response.body)) as unknown;
    return { status: response.statusCode, leaderUrl: null, body };
  }
}
