import { Command } from "clipanion";
import { CoordinatorCommand } from "../CoordinatorCommand";
import type { EvacuationClient } from "../EvacuationClient";

/** `evacuation list`. */
export class EvacuationListCommand extends CoordinatorCommand {
  static override paths = [["evacuation", "list"]];
  static override usage = Command.Usage({
    category: "Evacuations",
    description: "list the evacuated failure domains",
  });

  protected override async run(client: EvacuationClient) {
    const { revision, failureDomains } = await client.list();
    const names = failureDomains.length === 0 ? ["no failure domain is evacuated"] : failureDomains;
    return { value: { revision, failureDomains }, text: names.join("\n") };
  }
}
