import * as z from "zod";
import { failureDomainLimits } from "./failureDomainLimits";

const name = z.string().min(1).max(failureDomainLimits.maxNameLength);
const names = z.array(name).max(failureDomainLimits.maxNames);

/** Change of the evacuations, based on a state that the sender has read. */
export const EvacuationProposal = z.object({
  failureDomain: name,
  isEvacuated: z.boolean(),
  base: z.object({ revision: z.number().int().min(0), failureDomains: names, ended: names }),
  /** Whether a coordinator sends this to the leader on behalf of another process. */
  isForwarded: z.boolean(),
});
