import { buildId } from "@clementinemux/common/buildId";

/** Renders the build of this process as a gauge with the value 1, in Prometheus text format. */
export function renderBuildInfo(): string {
  const name = "clementinemux_build_info";
  return `# TYPE ${name} gauge\n${name}{build="${buildId}",node="${process.version}"} 1\n`;
}
