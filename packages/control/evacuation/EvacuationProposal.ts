import * as z from "zod";

/** Longest name of a failure domain, as in heartbeats. */
const maxNameLength = 256;
const maxNames = 1000;

const name = z.string().min(1).max(maxNameLength);
const names = z.array(name).max(maxNames);

/** Change of the evacuations, based on a state that the sender has read. */
export const EvacuationProposal = z.object({
  failureDomain: name,
  isEvacuated: z.boolean(),
  base: z.object({ revision: z.number().int().min(0), failureDomains: names, ended: names }),
  /** Whether a coordinator sends this to the leader on behalf of another process. */
  isForwarded: z.boolean(),
});
