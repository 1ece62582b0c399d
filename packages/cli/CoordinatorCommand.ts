import { Command, Option } from "clipanion";
import { CliError } from "./CliError";
import { EvacuationClient } from "./EvacuationClient";
import { ExitCode } from "./ExitCode";
import { parseTimeoutMs } from "./parseTimeoutMs";

/** Base class of the commands that call coordinators at their frame ports: common options, errors and exit codes. */
export abstract class CoordinatorCommand extends Command {
  coordinators = Option.String("--coordinators", {
    description: "frame addresses of coordinators (host:port), comma separated",
    env: "CLEMENTINEMUX_COORDINATORS",
  });
  timeoutMs = Option.String("--timeout-ms", "10000", { description: "timeout of the whole command, in ms" });
  json = Option.Boolean("--json", false, { description: "print JSON" });

  /** Runs the command and resolves with what it prints: a value for `--json`, and its text. */
  protected abstract run(
    client: EvacuationClient,
  ): Promise<{ readonly value: unknown; readonly text: string }>;

  override async execute(): Promise<number> {
    let client: EvacuationClient | null = null;
    try {
      client = this.#createClient();
      const { value, text } = await this.run(client);
      this.context.stdout.write(`${this.json ? JSON.stringify(value, null, 2) : text}\n`);
      return ExitCode.Done;
    } catch (error) {
      if (!(error instanceof CliError)) {
        throw error;
      }
      this.context.stderr.write(`${error.message}\n`);
      return error.exitCode;
    } finally {
      client?.close();
    }
  }

  #createClient(): EvacuationClient {
    const addresses = (this.coordinators ?? "").split(",").filter((text) => text !== "");
    if (addresses.length === 0) {
      const text = "no coordinators given; use --coordinators or CLEMENTINEMUX_COORDINATORS";
      throw new CliError(ExitCode.Usage, text);
    }
    const timeoutMs = parseTimeoutMs(this.timeoutMs);
    try {
      return new EvacuationClient(addresses, timeoutMs);
    } catch (error) {
      throw new CliError(ExitCode.Usage, `--coordinators: ${String(error)}`);
    }
  }
}
