/** Settings of the model of expert popularity. */
export interface DemandSettings {
  readonly layerCount: number;
  readonly expertCount: number;
  /** Zipf exponent of expert popularity within a layer. */
  readonly exponent: number;
  /** Amplitude of the daily drift of log popularity; 0 for none. */
  readonly driftAmplitude: number;
  readonly seed: number;
  /**
   * Flash crowd: a sudden peak during which a share of the experts is more popular by a factor; null for
   * none.
   */
  readonly flash: {
    readonly startMs: number;
    readonly endMs: number;
    readonly expertShare: number;
    readonly factor: number;
  } | null;
}
