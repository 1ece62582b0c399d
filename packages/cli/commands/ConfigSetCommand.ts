import { Command, Option } from "clipanion";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { ControlCommand } from "../ControlCommand";
import type { ExitCode } from "../ExitCode";
import type { OperatorClient } from "../OperatorClient";
import { parseJsonValue } from "../parseJsonValue";
import { setValue } from "../setValue";

/** `config set`. */
export class ConfigSetCommand extends ControlCommand {
  static override paths = [["config", "set"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "change one field of the defaults",
    details: "The value is parsed as JSON; text that is not JSON is a string.",
    examples: [
      ["Lower the retry budget", "$0 config set retryBudgetShare 0.05"],
      ["Raise a class's deadline", "$0 config set classes.important.deadlineMs 45000"],
    ],
  });

  field = Option.String({ name: "field" });
  value = Option.String({ name: "value" });
  revision = Option.String("--revision", { description: "fail unless this is the current revision" });

  protected override async run(client: OperatorClient): Promise<ExitCode> {
    const config = await client.getConfig();
    const defaults = setValue(
      config.defaults,
      this.field.split("."),
      parseJsonValue(this.value),
    ) as FleetDefaults;
    const baseRevision = this.revision === undefined ? config.revision : Number(this.revision);
    return this.propose(client, baseRevision, { kind: ConfigChangeKind.SetDefaults, defaults });
  }
}
