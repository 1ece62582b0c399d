import { Option } from "clipanion";
import { request as requestHttp } from "undici";
import type { GroupAnswer } from "@clementinemux/agent/lead/GroupAnswer";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { CliError } from "../CliError";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorAnswer } from "../OperatorAnswer";
import type { OperatorClient } from "../OperatorClient";

interface LeadAddress {
  readonly target: string;
  readonly address: string;
}

const agentTimeoutMs = 2000;

/** Base of the commands that ask the lead of a rank group. Control names the group's agents. */
export abstract class GroupCommand extends ControlCommand {
  group = Option.String({ name: "group" });

  /** Finds the lead through the agents of the group. Throws a CliError. */
  protected async findLead(client: OperatorClient): Promise<LeadAddress> {
    const targets = (await client.get("/v1/targets")) as readonly TargetAnnouncement[];
    const members = targets.filter(({ group }) => group === this.group);
    if (members.length === 0) {
      throw new CliError(ExitCode.Refused, `no target of group "${this.group}" is announced`);
    }
    const failures: string[] = [];
    for (const { target, address } of members) {
      try {
        const { status, body } = await this.ask("GET", address, "/agent/group");
        const { lead, leadAddress } = (status === 200 ? body : {}) as Partial<GroupAnswer>;
        if (lead !== undefined && leadAddress !== undefined && leadAddress !== "") {
          return { target: lead, address: leadAddress };
        }
        failures.push(`${target}: ${status === 200 ? "knows no lead" : `status ${status}`}`);
      } catch (error) {
        failures.push(`${target}: ${error instanceof Error ? error.message : String(error)}`);
      }
    }
    const text = `no agent of group "${this.group}" names its lead\n${failures.join("\n")}`;
    throw new CliError(ExitCode.Unreachable, text);
  }

  /** Asks the lead. Throws a CliError when it does not answer, or has been replaced. */
  protected async askLead(
    method: "GET" | "POST",
    { target, address }: LeadAddress,
    path: string,
  ): Promise<OperatorAnswer> {
    try {
      return await this.ask(method, address, path);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new CliError(ExitCode.Unreachable, `no answer from the lead ${target}: ${reason}`);
    }
  }

  protected async ask(method: "GET" | "POST", address: string, path: string): Promise<OperatorAnswer> {
    const answer = await requestHttp(`http://${address}${path}`, {
      method,
      headersTimeout: agentTimeoutMs,
      bodyTimeout: agentTimeoutMs,
      signal: AbortSignal.timeout(agentTimeoutMs),
    });
    return { status: answer.statusCode, leaderUrl: null, body: await answer.body.json() };
  }
}
