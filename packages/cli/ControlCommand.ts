import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { Command, Option } from "clipanion";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";
import { OperatorClient } from "./OperatorClient";

interface ProposeAnswer extends ProposeResponse {
  readonly inForce?: boolean;
}

const exitCodes: Readonly<Record<ProposeOutcome, ExitCode>> = {
  [ProposeOutcome.Accepted]: ExitCode.Done,
  [ProposeOutcome.Conflict]: ExitCode.Conflict,
  [ProposeOutcome.RequestIdReused]: ExitCode.Refused,
  [ProposeOutcome.Invalid]: ExitCode.Refused,
};

/** Base of the commands that talk to control: common options, errors and exit codes. */
export abstract class ControlCommand extends Command {
  control = Option.String("--control", {
    description: "URLs of control replicas, comma separated",
    env: "CLEMENTINEMUX_CONTROL",
  });
  tokenFile = Option.String("--token-file", {
    description: "file with the operator's token",
    env: "CLEMENTINEMUX_TOKEN_FILE",
  });
  caFile = Option.String("--ca", {
    description: "PEM file of control's certificate authority",
    env: "CLEMENTINEMUX_CA",
  });
  timeoutMs = Option.String("--timeout-ms", "10000", { description: "time for the whole command, in ms" });
  json = Option.Boolean("--json", false, { description: "print JSON" });
  author = Option.String("--author", userInfo().username, { description: "name recorded with a change" });
  wait = Option.Boolean("--wait", true, {
    description: "wait until an accepted change is in force everywhere",
  });

  /** Does the work of the command. */
  protected abstract run(client: OperatorClient): Promise<ExitCode>;

  override async execute(): Promise<number> {
    let client: OperatorClient | null = null;
    try {
      client = this.#createClient();
      return await this.run(client);
    } catch (error) {
      if (!(error instanceof CliError)) {
        throw error;
      }
      this.context.stderr.write(`${error.message}\n`);
      return error.exitCode;
    } finally {
      await client?.close();
    }
  }

  /** Prints a value as JSON, or its text. */
  protected print(value: unknown, formatText: () => string): void {
    this.context.stdout.write(`${this.json ? JSON.stringify(value, null, 2) : formatText()}\n`);
  }

  /** Proposes a change on top of the present or a given revision and reports the outcome. */
  protected async propose(
    client: OperatorClient,
    baseRevision: number,
    change: ConfigChange,
  ): Promise<ExitCode> {
    const answer = await client.propose(this.author, baseRevision, change, this.wait);
    const response = answer.body as ProposeAnswer;
    const exitCode = (exitCodes as Readonly<Record<string, ExitCode | undefined>>)[response.outcome];
    if (exitCode === undefined) {
      throw new CliError(
        ExitCode.Refused,
        `control refused the change (status ${answer.status}): ${JSON.stringify(answer.body)}`,
      );
    }
    this.print(response, () => formatOutcome(response, this.wait));
    if (response.outcome === ProposeOutcome.Accepted && this.wait && response.inForce !== true) {
      return ExitCode.NotInForce;
    }
    return exitCode;
  }

  #createClient(): OperatorClient {
    const controlUrls = (this.control ?? "").split(",").filter((url) => url !== "");
    if (controlUrls.length === 0) {
      throw new CliError(ExitCode.Usage, "name the control replicas with --control or CLEMENTINEMUX_CONTROL");
    }
    const timeoutMs = Number(this.timeoutMs);
    if (!(timeoutMs > 0)) {
      throw new CliError(ExitCode.Usage, `--timeout-ms: "${this.timeoutMs}" is not a number of ms above 0`);
    }
    return new OperatorClient({
      controlUrls: controlUrls.map((url) => url.replace(/\/$/, "")),
      token: this.tokenFile === undefined ? null : readTextFile(this.tokenFile).trim(),
      ca: this.caFile === undefined ? null : readTextFile(this.caFile),
      timeoutMs,
    });
  }
}

function readTextFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new CliError(
      ExitCode.Usage,
      `cannot read ${file}: ${error instanceof Error ? error.message : String(error)}`,
    );
  }
}

function formatOutcome(response: ProposeAnswer, waited: boolean): string {
  if (response.outcome === ProposeOutcome.Accepted) {
    const force =
      response.inForce === true
        ? ", in force everywhere"
        : waited
          ? ", not confirmed in force everywhere"
          : "";
    return `accepted as revision ${response.revision}${force}`;
  }
  if (response.outcome === ProposeOutcome.Conflict) {
    const winner = response.winner === null ? "" : `\n${JSON.stringify(response.winner.change, null, 2)}`;
    return `conflict: revision ${response.revision} by ${response.winnerAuthor ?? "another operator"} was accepted first${winner}`;
  }
  return `${response.outcome}: ${response.message}`;
}
