import type { ExpertParameters } from "@clementinemux/routes/ExpertParameters";

/** Parameters of a small service with one layer set, for stand-in groups of 4 ranks. */
export const expertParameters: ExpertParameters = {
  layerSets: 1,
  expertsPerSet: 8,
  placements: 4,
  spare: 2,
  expertMb: 10,
  expertShare: 0.85,
  linkMbps: 1000,
  formMs: 600,
};
