/** Power in which plans weigh the loads of ranks: the sum over all ranks is dominated by the most loaded ones. */
export function raiseTo8(value: number): number {
  const square = value * value;
  const fourth = square * square;
  return fourth * fourth;
}
