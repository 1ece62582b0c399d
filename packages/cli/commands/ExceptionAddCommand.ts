import { randomUUID } from "node:crypto";
import { Command, Option } from "clipanion";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { ExceptionOverride } from "@clementinemux/fleet/ExceptionOverride";
import type { ExceptionSelector } from "@clementinemux/fleet/ExceptionSelector";
import { CliError } from "../CliError";
import { ControlCommand } from "../ControlCommand";
import { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { parseDuration } from "../parseDuration";
import { parseJsonValue } from "../parseJsonValue";

/** `exception add`. */
export class ExceptionAddCommand extends ControlCommand {
  static override paths = [["exception", "add"]];
  static override usage = Command.Usage({
    category: "Exceptions",
    description: "add an exception to the defaults, with its reason",
    examples: [
      [
        "Make a team important for a week",
        '$0 exception add --team quotes --set requestClass=important --expires-in 7d --reason "Spring sale"',
      ],
    ],
  });

  reason = Option.String("--reason", {
    required: true,
    description: "why the exception exists; shown wherever it applies",
  });
  team = Option.String("--team");
  model = Option.String("--model");
  service = Option.String("--service");
  group = Option.String("--group");
  region = Option.String("--region");
  set = Option.Array("--set", [], { description: "field=value; may be repeated" });
  expiresIn = Option.String("--expires-in", {
    description: "duration such as 90s, 30m, 2h or 7d; never expires if omitted",
  });
  id = Option.String("--id", { description: "id of the exception; random if omitted" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const nowMs = Date.now();
    const selector: ExceptionSelector = {
      team: this.team,
      model: this.model,
      service: this.service,
      group: this.group,
      region: this.region,
    };
    const exception = {
      id: this.id ?? randomUUID(),
      reason: this.reason,
      author: this.author,
      createdAtMs: nowMs,
      expiresAtMs: this.expiresIn === undefined ? null : nowMs + parseDuration(this.expiresIn),
      selector,
      override: parseOverride(this.set),
    };
    const { revision } = await client.getConfig();
    return this.propose(client, revision, { kind: ConfigChangeKind.AddException, exception });
  }
}

function parseOverride(assignments: readonly string[]): ExceptionOverride {
  const fields = assignments.map((assignment) => {
    const [, field, value] = /^([A-Za-z]+)=(.+)$/.exec(assignment) ?? [];
    if (field === undefined || value === undefined) {
      throw new CliError(ExitCode.Usage, `--set "${assignment}" does not have the form field=value`);
    }
    return [field, parseJsonValue(value)] as const;
  });
  if (fields.length === 0) {
    throw new CliError(ExitCode.Usage, "no change given; use --set field=value");
  }
  return Object.fromEntries(fields);
}
