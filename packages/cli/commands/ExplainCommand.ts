import { readFileSync } from "node:fs";
import { text as readText } from "node:stream/consumers";
import { Command, Option } from "clipanion";
import { request as requestHttp } from "undici";
import { ExitCode } from "../ExitCode";
import { findRequestTrace } from "../findRequestTrace";
import { formatTrace } from "../formatTrace";
import { readBodyText } from "../readBodyText";

/** File name that means standard input. */
const standardInput = "-";
const entryTimeoutMs = 5000;

/**
 * `explain`. Reads the logs of several processes, or queries the entries; only the entry that handled the
 * request knows it.
 */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "show why a request was rejected, retried or routed as it was",
    examples: [
      ["Trace a request in the logs of several processes", "$0 explain 4f1c... logs/*.log"],
      ["The same from standard input", "cat logs/*.log | $0 explain 4f1c... -"],
      ["Query two entries", "$0 explain 4f1c... --entry http://10.0.0.1:8080,http://10.0.0.2:8080"],
    ],
  });

  requestId = Option.String({ name: "request-id" });
  files = Option.Rest({ name: "log-file" });
  entry = Option.String("--entry", {
    description: "URLs of entries, comma separated",
    env: "CLEMENTINEMUX_ENTRY",
  });
  token = Option.String("--token", { description: "a caller's token", env: "CLEMENTINEMUX_TOKEN" });
  json = Option.Boolean("--json", false, { description: "print JSON" });

  override async execute(): Promise<number> {
    if (this.files.length > 0) {
      return this.#explainFromLogs();
    }
    if (this.entry === undefined) {
      this.context.stderr.write('give log files, "-" for standard input, or entries with --entry\n');
      return ExitCode.Usage;
    }
    return this.#queryEntries(this.entry);
  }

  async #explainFromLogs(): Promise<number> {
    const texts: string[] = [];
    for (const file of this.files) {
      try {
        texts.push(file === standardInput ? await readText(this.context.stdin) : readFileSync(file, "utf8"));
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.context.stderr.write(`cannot read ${file}: ${reason}\n`);
        return ExitCode.Usage;
      }
    }
    const trace = findRequestTrace(texts.join("\n"), this.requestId);
    if (trace.length === 0) {
      this.context.stderr.write(`no log line names request "${this.requestId}"\n`);
      return ExitCode.Refused;
    }
    this.context.stdout.write(`${this.json ? JSON.stringify(trace, null, 2) : formatTrace(trace)}\n`);
    return ExitCode.Done;
  }

  async #queryEntries(entries: string): Promise<number> {
    const failures: string[] = [];
    for (const url of entries.split(",")) {
      try {
        const response = await requestHttp(`${url}/v1/explain/${encodeURIComponent(this.requestId)}`, {
          headers: this.token === undefined ? {} : { authorization: `Bearer ${this.token}` },
          signal: AbortSignal.timeout(entryTimeoutMs),
        });
        const text = await readBodyText(response.body);
        if (response.statusCode === 200) {
          this.context.stdout.write(`${JSON.stringify(JSON.parse(text), null, 2)}\n`);
          return ExitCode.Done;
        }
        failures.push(`${url}: status ${response.statusCode}`);
      } catch (error) {
        failures.push(`${url}: ${error instanceof Error ? error.message : String(error)}`);
      }
    }
    this.context.stderr.write(`no entry knows request "${this.requestId}"\n${failures.join("\n")}\n`);
    return ExitCode.Refused;
  }
}
