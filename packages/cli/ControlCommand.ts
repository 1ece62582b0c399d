import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { Command, Option } from "clipanion";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";
import { OperatorClient } from "./OperatorClient";
import { parseTimeoutMs } from "./parseTimeoutMs";

interface ConfirmedProposeResponse extends ProposeResponse {
  /**
   * Whether the change is confirmed to be in effect everywhere; present only if the request waited for that.
   */
  readonly inForce?: boolean;
}

const exitCodes: Readonly<Record<ProposeOutcome, ExitCode>> = {
  [ProposeOutcome.Accepted]: ExitCode.Done,
  [ProposeOutcome.Conflict]: ExitCode.Conflict,
  [ProposeOutcome.RequestIdReused]: ExitCode.Refused,
  [ProposeOutcome.Invalid]: ExitCode.Refused,
};

/** Base class of the commands that call control: common options, errors and exit codes. */
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
  timeoutMs = Option.String("--timeout-ms", "10000", { description: "timeout of the whole command, in ms" });
  json = Option.Boolean("--json", false, { description: "print JSON" });
  author = Option.String("--author", userInfo().username, { description: "name recorded with a change" });
  wait = Option.Boolean("--wait", true, {
    description: "wait until an accepted change is in force everywhere",
  });

  /** Runs the command and resolves with its exit code. */
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

  /** Prints a value, as JSON when `--json` is set and as text otherwise. */
  protected print(value: unknown, formatText: () => string): void {
    this.context.stdout.write(`${this.json ? JSON.stringify(value, null, 2) : formatText()}\n`);
  }

  /** Proposes a change that is based on the given revision and prints the outcome. */
  protected async propose(
    client: OperatorClient,
    baseRevision: number,
    change: ConfigChange,
  ): Promise<ExitCode> {
    const response = await client.propose(this.author, baseRevision, change, this.wait);
    const result = response.body as ConfirmedProposeResponse;
    const exitCode = (exitCodes as Readonly<Record<string, ExitCode | undefined>>)[result.outcome];
    if (exitCode === undefined) {
      throw new CliError(
        ExitCode.Refused,
        `control rejected the change (status ${response.status}): ${JSON.stringify(response.body)}`,
      );
    }
    this.print(result, () => formatOutcome(result, this.wait));
    if (result.outcome === ProposeOutcome.Accepted && this.wait && result.inForce !== true) {
      return ExitCode.NotInForce;
    }
    return exitCode;
  }

  #createClient(): OperatorClient {
    const controlUrls = (this.control ?? "").split(",").filter((url) => url !== "");
    if (controlUrls.length === 0) {
      throw new CliError(ExitCode.Usage, "no control replicas given; use --control or CLEMENTINEMUX_CONTROL");
    }
    const timeoutMs = parseTimeoutMs(this.timeoutMs);
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

function formatOutcome(result: ConfirmedProposeResponse, waited: boolean): string {
  if (result.outcome === ProposeOutcome.Accepted) {
    const confirmation =
      result.inForce === true ? ", in force everywhere" : waited ? ", not confirmed in force everywhere" : "";
    return `accepted as revision ${result.revision}${confirmation}`;
  }
  if (result.outcome === ProposeOutcome.Conflict) {
    const winner = result.winner === null ? "" : `\n${JSON.stringify(result.winner.change, null, 2)}`;
    return `conflict: revision ${result.revision} by ${result.winnerAuthor ?? "another operator"} was accepted first${winner}`;
  }
  return `${result.outcome}: ${result.message}`;
}
