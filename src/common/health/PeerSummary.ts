import type { TargetId } from '../base/index.js';
import type { PeerView, TargetSummary } from './Types.js';

/** Minimum number of peers for a comparison; with fewer, a target is compared only with its own past. */
export const minimumPeers = 3;
/** Minimum number of samples of a peer. */
const minimumSamples = 8;
/** Severity from which a peer counts as degraded; half the score of a suspect. */
export const degradedSeverity = 4.5;
/** Share of degraded peers from which the cause is taken to be common to the service. */
const serviceWideShare = 0.5;

/** View of a target without comparable peers. */
export const noPeers: PeerView = { peers: 0, errorRate: 0, routes: new Map() };

function median(values: number[]): number {
  values.sort((left, right) => left - right);
  const upper = values[values.length >> 1] ?? NaN;
  const lower = values[(values.length - 1) >> 1] ?? NaN;
  return (lower + upper) / 2;
}

function isServing(summary: TargetSummary): boolean {
  return summary.status === 'active' || summary.status === 'suspect';
}

function collectRoutes(peers: readonly TargetSummary[]): Map<string, number> {
  const medians = new Map<string, number[]>();
  for (const peer of peers) {
    for (const { route, median: value } of peer.routes) {
      const list = medians.get(route);
      if (list === undefined) medians.set(route, [value]);
      else list.push(value);
    }
  }
  const result = new Map<string, number>();
  medians.forEach((values, route) => {
    if (values.length >= minimumPeers) result.set(route, median(values));
  });
  return result;
}

/** Aggregates the summaries of the other targets of a service. Medians limit the effect of one wrong summary. */
export function comparePeers(self: TargetId, summaries: readonly TargetSummary[]): PeerView {
  const peers = summaries.filter(
    (summary) => summary.target !== self && isServing(summary) && summary.samples >= minimumSamples,
  );
  if (peers.length < minimumPeers) return noPeers;
  return {
    peers: peers.length,
    errorRate: median(peers.map((peer) => peer.errorRate)),
    routes: collectRoutes(peers),
  };
}

/** Whether at least half of the other serving targets are degraded too, so that ejecting one would not help. */
export function isServiceWide(self: TargetId, summaries: readonly TargetSummary[]): boolean {
  const peers = summaries.filter((summary) => summary.target !== self && isServing(summary));
  // A suspect gets few requests, so its score decays although the fault persists.
  const degraded = peers.filter(
    (peer) => peer.severity >= degradedSeverity || peer.status === 'suspect',
  );
  return peers.length > 0 && degraded.length >= serviceWideShare * peers.length;
}
