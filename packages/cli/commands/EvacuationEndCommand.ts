import { Command, Option } from "clipanion";
import { CoordinatorCommand } from "../CoordinatorCommand";
import type { EvacuationClient } from "../EvacuationClient";

/** `evacuation end`. */
export class EvacuationEndCommand extends CoordinatorCommand {
  static override paths = [["evacuation", "end"]];
  static override usage = Command.Usage({
    category: "Evacuations",
    description: "use the targets of an evacuated failure domain again",
  });

  failureDomain = Option.String({ name: "failureDomain" });

  protected override async run(client: EvacuationClient) {
    const { failureDomain } = this;
    await client.change({ failureDomain, isEvacuated: false });
    return { value: { failureDomain, isEvacuated: false }, text: `${failureDomain} is not evacuated` };
  }
}
