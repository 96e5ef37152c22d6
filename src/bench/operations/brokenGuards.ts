import type { Store } from '../../api/index.js';
import type { OperationRecords } from '../../common/operations/OperationRunner.js';
import type { LedgerDecision, IntentLog, OperationLedger } from '../../common/operations/index.js';
import type { Variant } from './SimulatedDaemon.js';
import type { Violation } from './Types.js';

/** Variant of the fleet without one guard, and the rule that is violated as a result. */
export interface BrokenGuard {
  readonly guard: string;
  readonly breaks: Violation['rule'];
  readonly variant: Variant;
}

function delegate(log: IntentLog): IntentLog {
  return {
    record: (intent) => log.record(intent),
    append: (record) => log.append(record),
    isOwnershipConfirmedSince: (time) => log.isOwnershipConfirmedSince(time),
    confirmOwnership: () => log.confirmOwnership(),
    read: (sequence, key) => log.read(sequence, key),
  };
}

function startBeforeRecord({ ledger, log }: OperationRecords): OperationRecords {
  const record: IntentLog['record'] = (intent) => {
    log.record(intent).durable.catch(() => {});
    return { durable: Promise.resolve(1), cancel: () => false };
  };
  return { ledger, log: { ...delegate(log), record } };
}

function skipOwnershipCheck({ ledger, log }: OperationRecords): OperationRecords {
  const confirm = (): Promise<boolean> => Promise.resolve(true);
  return {
    ledger,
    log: { ...delegate(log), isOwnershipConfirmedSince: () => true, confirmOwnership: confirm },
  };
}

function restartUnknown({ ledger, log }: OperationRecords): OperationRecords {
  const begin: OperationLedger['begin'] = (key, fingerprint): LedgerDecision => {
    const decision = ledger.begin(key, fingerprint);
    if (decision.type !== 'unknown') return decision;
    ledger.release(key, { type: 'moved' });
    return ledger.begin(key, fingerprint);
  };
  const ledgerVariant = new Proxy(ledger, {
    get(target, name) {
      if (name === 'begin') return begin;
      const value: unknown = Reflect.get(target, name);
      return typeof value === 'function' ? (value.bind(target) as unknown) : value;
    },
  });
  return { ledger: ledgerVariant, log };
}

function writeWithoutCompare(store: Store): Store {
  const transact: Store['transact'] = (compares, writes) => {
    const isJournal = writes.some(({ key }) => key.startsWith('journal/'));
    return store.transact(isJournal ? [] : compares, writes);
  };
  return new Proxy(store, {
    get(target, name) {
      if (name === 'transact') return transact;
      const value: unknown = Reflect.get(target, name);
      return typeof value === 'function' ? (value.bind(target) as unknown) : value;
    },
  });
}

/** One variant for each guard whose absence a caller can observe. */
export const brokenGuards: readonly BrokenGuard[] = [
  {
    guard: 'an intent is in the journal before the operation starts',
    breaks: 'started-twice',
    variant: { records: startBeforeRecord },
  },
  {
    guard: 'segments are created by compare-and-swap',
    breaks: 'started-twice',
    variant: { store: writeWithoutCompare },
  },
  {
    guard: 'an unknown operation is never started again',
    breaks: 'started-twice',
    variant: { records: restartUnknown },
  },
  {
    guard: 'only a not-started refusal allows another target',
    breaks: 'started-twice',
    variant: {
      dispatch: (dispatch) => async (payload, timeout) => {
        const result = await dispatch(payload, timeout);
        return result.type === 'unknown' ? dispatch(payload, timeout) : result;
      },
    },
  },
  {
    guard: 'a not-run refusal requires confirmed ownership',
    breaks: 'false-not-run',
    variant: { records: skipOwnershipCheck },
  },
  {
    guard: 'an entry that cannot reach the authority does not answer a resend with not-run',
    breaks: 'false-not-run',
    variant: {
      answer: (result) =>
        result.outcome === 'unknown' && result.message.includes('cannot be reached')
          ? { outcome: 'not-run', reason: 'authority-away', message: result.message }
          : result,
    },
  },
  {
    guard: 'a key is bound to one fingerprint',
    breaks: 'wrong-answer',
    variant: {
      request: (request) => ({ ...request, fingerprint: 'same' as typeof request.fingerprint }),
    },
  },
];
