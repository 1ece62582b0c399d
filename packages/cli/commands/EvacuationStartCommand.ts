import { Command, Option } from "clipanion";
import { CoordinatorCommand } from "../CoordinatorCommand";
import type { EvacuationClient } from "../EvacuationClient";

/** `evacuation start`. */
export class EvacuationStartCommand extends CoordinatorCommand {
  static override paths = [["evacuation", "start"]];
  static override usage = Command.Usage({
    category: "Evacuations",
    description: "send nothing more to the targets of a failure domain; streams that run are finished",
    examples: [["Evacuate one", "$0 evacuation start east-1 --coordinators 10.0.0.1:7000,10.0.0.2:7000"]],
  });

  failureDomain = Option.String({ name: "failureDomain" });

  protected override async run(client: EvacuationClient) {
    const { failureDomain } = this;
    await client.change({ failureDomain, isEvacuated: true });
    return { value: { failureDomain, isEvacuated: true }, text: `${failureDomain} is evacuated` };
  }
}
