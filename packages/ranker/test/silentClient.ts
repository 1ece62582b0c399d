import type { RankClient } from "@clementinemux/ranker/RankClient";

/** Stand-in client of a rank that never responds; tests override the calls that they need. */
export const silentClient: RankClient = {
  inspect: () => Promise.resolve(null),
  readPreparedExperts: () => Promise.resolve(null),
  readActiveExperts: () => Promise.resolve(null),
  readMembership: () => Promise.resolve(null),
  inspectState: () => Promise.resolve(null),
  order: () => Promise.resolve(null),
};
