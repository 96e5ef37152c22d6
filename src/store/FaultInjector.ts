import { Emitter, InvalidInputError } from '../common/base/index.js';
import type { CallFate, CallKind, FaultSettings, Peer } from './Types.js';

/** No fault. */
export const noFaults: FaultSettings = {
  down: false,
  slow: 0,
  loseAnswers: 0,
  cut: 'none',
  cutClients: [],
  refuse: [],
};

function isStringList(value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}

function isCount(value: unknown): boolean {
  return Number.isInteger(value) && Number(value) >= 0;
}

const checks: Record<keyof FaultSettings, (value: unknown) => boolean> = {
  down: (value) => typeof value === 'boolean',
  slow: isCount,
  loseAnswers: isCount,
  cut: (value) => value === 'none' || value === 'requests' || value === 'answers',
  cutClients: isStringList,
  refuse: isStringList,
};

/** Holds the faults in force and decides what happens to each call. */
export class FaultInjector {
  private settings = noFaults;

  private readonly changed = new Emitter<FaultSettings>();

  /** Fires after each change of the settings. */
  public readonly onChange = this.changed.event;

  public get current(): FaultSettings {
    return this.settings;
  }

  /** Replaces the given settings and keeps the others; throws `InvalidInputError` for a wrong one. */
  public set(change: Partial<FaultSettings>): void {
    const problems = Object.entries(change)
      .filter(([name, value]) => !checks[name as keyof FaultSettings]?.(value))
      .map(([name]) => `fault "${name}" is unknown or has a wrong value`);
    if (problems.length > 0) throw new InvalidInputError(problems, { step: 'store.faults' });
    this.settings = { ...this.settings, ...change };
    this.changed.fire(this.settings);
  }

  /** Decides the fate of one call and uses up one lost answer if it applies. */
  public decide(peer: Peer, kind: CallKind): CallFate {
    if (this.isRefused(peer)) return 'refuse';
    const cut = this.cutOf(peer);
    if (cut === 'requests') return 'lose-request';
    if (cut === 'answers') return 'cut-answer';
    if (kind !== 'write' || this.settings.loseAnswers === 0) return 'answer';
    this.settings = { ...this.settings, loseAnswers: this.settings.loseAnswers - 1 };
    return 'lose-answer';
  }

  /** Tells whether a peer cannot connect. */
  public isRefused(peer: Peer): boolean {
    if (this.settings.down) return true;
    const host = peer.address.slice(0, peer.address.lastIndexOf(':'));
    return [peer.client, peer.address, host].some(
      (name) => name !== '' && this.settings.refuse.includes(name),
    );
  }

  /** Tells whether a running watch of a peer can deliver. */
  public canDeliver(peer: Peer): boolean {
    return !this.isRefused(peer) && this.cutOf(peer) !== 'answers';
  }

  private cutOf(peer: Peer): FaultSettings['cut'] {
    const { cut, cutClients } = this.settings;
    return cutClients.length === 0 || cutClients.includes(peer.client) ? cut : 'none';
  }
}
