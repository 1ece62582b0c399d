import { Command, Option } from "clipanion";
import { request as requestHttp } from "undici";
import { ExitCode } from "../ExitCode";

/** `explain`. Any entry may be asked; only the one that handled the request knows it. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "show why a request was refused, retried or routed as it was",
    examples: [["Ask two entries", "$0 explain 4f1c... --entry http://10.0.0.1:8080,http://10.0.0.2:8080"]],
  });

  requestId = Option.String({ name: "request-id" });
  entry = Option.String("--entry", {
    required: true,
    description: "URLs of entries, comma separated",
    env: "CLEMENTINEMUX_ENTRY",
  });
  token = Option.String("--token", { description: "a caller's token", env: "CLEMENTINEMUX_TOKEN" });

  override async execute(): Promise<number> {
    const failures: string[] = [];
    for (const url of this.entry.split(",")) {
      try {
        const answer = await requestHttp(`${url}/v1/explain/${encodeURIComponent(this.requestId)}`, {
          headers: this.token === undefined ? {} : { authorization: `Bearer ${this.token}` },
        });
        const text = await answer.body.text();
        if (answer.statusCode === 200) {
          this.context.stdout.write(`${JSON.stringify(JSON.parse(text), null, 2)}\n`);
          return ExitCode.Done;
        }
        failures.push(`${url}: status ${answer.statusCode}`);
      } catch (error) {
        failures.push(`${url}: ${error instanceof Error ? error.message : String(error)}`);
      }
    }
    this.context.stderr.write(`no entry knows request "${this.requestId}"\n${failures.join("\n")}\n`);
    return ExitCode.Refused;
  }
}
