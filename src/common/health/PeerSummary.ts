import type { TargetId } from '../base/index.js';
import type { PeerView, TargetSummary } from './Types.js';

/** Fewest peers that make a comparison; below, only the target's own past counts. */
export const minimumPeers = 3;
/** Samples that a peer needs to be compared with. */
const minimumSamples = 8;
/** A peer with half the score of a suspect is in trouble itself. */
export const degradedSeverity = 4.5;
/** Share of the peers in trouble above which the cause is common to the service. */
const serviceWideShare = 0.5;

/** View without peers. */
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

/** Condenses the summaries of the other targets of a service. Medians keep one lying home from moving the view. */
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

/** Whether at least half of the other serving targets are in trouble too; then ejecting one helps nobody. */
export function isServiceWide(self: TargetId, summaries: readonly TargetSummary[]): boolean {
  const peers = summaries.filter((summary) => summary.target !== self && isServing(summary));
  // A suspect gets little work, so its score fades while the trouble lasts.
  const troubled = peers.filter(
    (peer) => peer.severity >= degradedSeverity || peer.status === 'suspect',
  );
  return peers.length > 0 && troubled.length >= serviceWideShare * peers.length;
}
