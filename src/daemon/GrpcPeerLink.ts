import type { DaemonId } from '../api/index.js';
import type { MemberUpdate, PeerLink } from '../common/membership/Types.js';
import type { MemberUpdate__Output as UpdateOutput } from './generated/limpettrack/MemberUpdate.js';
import type { ProbeResult__Output as ProbeOutput } from './generated/limpettrack/ProbeResult.js';
import { decodeUpdate, encodeUpdate } from './MembershipMessages.js';
import type { PeerConnections } from './PeerConnections.js';
import { callUnary } from './unary.js';

const exchangeTimeoutMs = 1_000;
const probeTimeoutMs = 1_000;

/** Membership calls to peers over gRPC. */
export class GrpcPeerLink implements PeerLink {
  public constructor(private readonly connections: PeerConnections) {}

  public async exchange(address: string, update: MemberUpdate): Promise<MemberUpdate> {
    const client = this.connections.get(address);
    const origin = { step: 'membership.exchange', peer: address };
    const answer = await callUnary<UpdateOutput>(origin, exchangeTimeoutMs, (options, done) => {
      client.exchange(encodeUpdate(update), options, done);
    });
    return decodeUpdate(answer);
  }

  public async probe(address: string, member?: DaemonId): Promise<boolean> {
    const client = this.connections.get(address);
    const origin = { step: 'membership.probe', peer: address };
    const { reachable } = await callUnary<ProbeOutput>(origin, probeTimeoutMs, (options, done) => {
      client.probe({ member: member ?? '' }, options, done);
    });
    return reachable;
  }
}
