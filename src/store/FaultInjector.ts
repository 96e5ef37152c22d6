import { Emitter, InvalidInputError } from '../common/base/index.js';
import type { CallDisposition, CallKind, FaultSettings, Peer } from './Types.js';

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

const validators: Record<keyof FaultSettings, (value: unknown) => boolean> = {
  down: (value) => typeof value === 'boolean',
  slow: isCount,
  loseAnswers: isCount,
  cut: (value) => value === 'none' || value === 'requests' || value === 'answers',
  cutClients: isStringList,
  refuse: isStringList,
};

/** Holds the active faults and decides how they affect each call. */
export class FaultInjector {
  private settings = noFaults;

  private readonly changed = new Emitter<FaultSettings>();

  /** Fires after `set`. */
  public readonly onChange = this.changed.event;

  public get current(): FaultSettings {
    return this.settings;
  }

  /** Replaces the given settings and keeps the others; throws `InvalidInputError` for an unknown or invalid one. */
  public set(change: Partial<FaultSettings>): void {
    const problems = Object.entries(change)
      .filter(([name, value]) => !validators[name as keyof FaultSettings]?.(value))
      .map(([name]) => `fault "${name}" is unknown or has a wrong value`);
    if (problems.length > 0) throw new InvalidInputError(problems, { step: 'store.faults' });
    this.settings = { ...this.settings, ...change };
    this.changed.fire(this.settings);
  }

  /** Decides how the faults affect one call; decrements `loseAnswers` if the response is to be lost. */
  public decide(peer: Peer, kind: CallKind): CallDisposition {
    if (this.isRefused(peer)) return 'refuse';
    const cut = this.cutFor(peer);
    if (cut === 'requests') return 'lose-request';
    if (cut === 'answers') return 'cut-answer';
    if (kind !== 'write' || this.settings.loseAnswers === 0) return 'answer';
    this.settings = { ...this.settings, loseAnswers: this.settings.loseAnswers - 1 };
    return 'lose-answer';
  }

  /** Tells whether the connections of a peer are refused. */
  public isRefused(peer: Peer): boolean {
    if (this.settings.down) return true;
    const host = peer.address.slice(0, peer.address.lastIndexOf(':'));
    return [peer.client, peer.address, host].some(
      (name) => name !== '' && this.settings.refuse.includes(name),
    );
  }

  /** Tells whether responses and watch events can reach a peer. */
  public canDeliver(peer: Peer): boolean {
    return !this.isRefused(peer) && this.cutFor(peer) !== 'answers';
  }

  private cutFor(peer: Peer): FaultSettings['cut'] {
    const { cut, cutClients } = this.settings;
    return cutClients.length === 0 || cutClients.includes(peer.client) ? cut : 'none';
  }
}
