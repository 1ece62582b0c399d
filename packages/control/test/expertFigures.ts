import type { ExpertFigures } from "@clementinemux/routes/ExpertFigures";

/** Parameters of a small service with one layer set, for stand-in groups of 4 ranks. */
export const expertFigures: ExpertFigures = {
  layerSets: 1,
  expertsPerSet: 8,
  placements: 4,
  spare: 2,
  expertMb: 10,
  expertShare: 0.85,
  linkMbps: 1000,
  formMs: 600,
};
