/** Types of the operators' command line. */
import type { BaseContext } from 'clipanion';
import type { Clock } from '../common/base/index.js';
import type {
  ConfigurationContent,
  ConfigurationEditor,
  ConfigurationHead,
} from '../common/configuration/Types.js';
import type { Store } from '../common/services/Types.js';
import type { DocumentChange } from './configurationDiff.js';
import type { Edit } from './edits.js';

/** Where a command connects to and on whose behalf. */
export interface Connections {
  /** Name of the store adapter. */
  readonly adapter: string;
  /** `host:port` of each member of the store. */
  readonly store: readonly string[];
  /** `host:port` of the admin endpoints that can be asked. */
  readonly daemons: readonly string[];
  readonly author: string;
}

/** What the commands take from their process. */
export interface OperatorContext extends BaseContext {
  readonly clock: Clock;
  readonly openStore: (connections: Connections) => Store;
  readonly createEditor: (store: Store) => ConfigurationEditor;
  readonly readFile: (file: string) => Promise<string>;
}

/** A change that an operator asks for. */
export interface ChangePlan {
  /** What it does, in one line. */
  readonly summary: string;
  readonly edit: Edit;
  /** Command that reverses the change, without the name of the program. */
  readonly undo?: string;
  /** Documents that the change relies on, such as the preset of a switch; `everything` conflicts with any change. */
  readonly reliesOn?: readonly string[] | 'everything';
}

/** How a change is made. */
export interface ChangeOptions {
  readonly author: string;
  readonly isDryRun: boolean;
  /** Revision that the operator looked at; a later change of the same documents is a conflict. */
  readonly base?: number;
}

/** Two changes of the same documents. Nothing of `ours` is in. */
export interface ChangeConflict {
  readonly type: 'conflict';
  /** Revision that both changes started from. */
  readonly base: number;
  /** Revision that stands in the store. */
  readonly present: number;
  /** Heads after `base` up to `present`, oldest first. */
  readonly between: readonly Pick<ConfigurationHead, 'revision' | 'author' | 'summary'>[];
  readonly ours: readonly DocumentChange[];
  readonly theirs: readonly DocumentChange[];
  /** Documents that both touch. */
  readonly overlap: readonly string[];
  /** Both versions in full. */
  readonly wantedContent: ConfigurationContent;
  readonly presentContent: ConfigurationContent;
}

/** Result of a change. */
export type ChangeReport =
  | {
      readonly type: 'applied';
      readonly revision: number;
      readonly changes: readonly DocumentChange[];
      /** Authors of other changes that came between and that were kept. */
      readonly keptAuthors: readonly string[];
    }
  | { readonly type: 'nothing'; readonly revision: number }
  | {
      readonly type: 'dry-run';
      readonly revision: number;
      readonly changes: readonly DocumentChange[];
    }
  | ChangeConflict
  | {
      readonly type: 'unknown';
      /** The change is at this revision if it is in. */
      readonly revision: number;
      readonly changes: readonly DocumentChange[];
    };
