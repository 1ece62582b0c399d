import { logLosses } from "@clementinemux/logging/logLosses";
import { renderBuildInfo } from "./renderBuildInfo";
import { renderCounters } from "./renderCounters";
import { renderGauges } from "./renderGauges";

/** Renders the metrics that every process has, in Prometheus text format. */
export function renderProcess(): string {
  return renderBuildInfo() + renderMemory() + renderCounters(logLosses);
}

/** Tells whether memory is taken by objects or by buffers, which lie outside of the heap. */
function renderMemory(): string {
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  return renderGauges({
    clementinemux_process_resident_bytes: rss,
    clementinemux_process_heap_bytes: heapUsed,
    clementinemux_process_buffer_bytes: arrayBuffers,
  });
}
