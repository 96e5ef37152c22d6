/** Changes of the configuration as pure functions. */
import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { brandAs } from '../common/base/index.js';
import type { PresetName } from '../common/base/index.js';
import type {
  Automation,
  ConfigurationContent,
  HoldDocument,
  PauseDocument,
} from '../common/configuration/Types.js';
import type { ConfigurationDraft } from './ConfigurationFile.js';
import { documentForms, nameOf } from './documentForms.js';
import type { AnyDocument, DocumentNoun } from './documentForms.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

/** Why a change cannot be made. */
export interface EditRefusal {
  readonly exitCode: ExitCode;
  readonly message: string;
}

/** Result of an edit. */
export type Edited = Either<EditRefusal, ConfigurationContent>;

/** A change of the configuration. */
export type Edit = (content: ConfigurationContent) => Edited;

function refuse(exitCode: ExitCode, message: string): Edited {
  return left({ exitCode, message });
}

function documentsOf(content: ConfigurationContent, noun: DocumentNoun): readonly AnyDocument[] {
  return content[documentForms[noun].collection];
}

/** Finds a document by its name. */
export function findDocument(
  content: ConfigurationContent,
  noun: DocumentNoun,
  name: string,
): AnyDocument | undefined {
  return documentsOf(content, noun).find((document) => nameOf(document) === name);
}

function replaceDocument<Document extends AnyDocument>(
  documents: readonly Document[],
  document: Document,
): Document[] {
  const isKnown = documents.some((other) => nameOf(other) === nameOf(document));
  if (!isKnown) return [...documents, document];
  return documents.map((other) => (nameOf(other) === nameOf(document) ? document : other));
}

function withDocuments(
  content: ConfigurationContent,
  noun: DocumentNoun,
  documents: readonly AnyDocument[],
): ConfigurationContent {
  return { ...content, [documentForms[noun].collection]: documents };
}

/** Adds a document that does not exist yet. */
export function createDocument(noun: DocumentNoun, document: AnyDocument): Edit {
  return (content) => {
    const name = nameOf(document);
    if (findDocument(content, noun, name) !== undefined) {
      return refuse(exitCodes.invalid, `${noun} ${name} exists; use "${noun} change"`);
    }
    return right(withDocuments(content, noun, [...documentsOf(content, noun), document]));
  };
}

/** Replaces a document by what `update` makes of it. */
export function changeDocument(
  noun: DocumentNoun,
  name: string,
  update: (present: AnyDocument) => Either<EditRefusal, AnyDocument>,
): Edit {
  return (content) => {
    const present = findDocument(content, noun, name);
    if (present === undefined) return refuse(exitCodes.notFound, `there is no ${noun} ${name}`);
    const updated = update(present);
    if (isLeft(updated)) return updated;
    const documents = replaceDocument(documentsOf(content, noun), updated.right);
    return right(withDocuments(content, noun, documents));
  };
}

/** Removes a document. */
export function removeDocument(noun: DocumentNoun, name: string): Edit {
  return (content) => {
    if (findDocument(content, noun, name) === undefined) {
      return refuse(exitCodes.notFound, `there is no ${noun} ${name}`);
    }
    const rest = documentsOf(content, noun).filter((document) => nameOf(document) !== name);
    return right(withDocuments(content, noun, rest));
  };
}

/** Creates or replaces all documents of a file. The first preset of a fleet without one is put in force. */
export function writeDraft(draft: ConfigurationDraft): Edit {
  return (content) => {
    const merged = (Object.keys(documentForms) as DocumentNoun[]).reduce((present, noun) => {
      const { collection } = documentForms[noun];
      const documents = (draft[collection] as readonly AnyDocument[]).reduce(
        (all, document) => replaceDocument(all, document),
        documentsOf(present, noun),
      );
      return withDocuments(present, noun, documents);
    }, content);
    const first = draft.presets[0]?.name;
    const preset = content.preset === '' && first !== undefined ? first : content.preset;
    return right({ ...merged, preset });
  };
}

/** Puts a preset in force. */
export function switchPreset(name: string): Edit {
  return (content) =>
    findDocument(content, 'preset', name) === undefined
      ? refuse(exitCodes.notFound, `there is no preset ${name}`)
      : right({ ...content, preset: brandAs<PresetName>(name) });
}

/** Sets the decision of an operator about a target. */
export function holdTarget(hold: HoldDocument): Edit {
  return (content) => {
    const others = content.holds.filter(({ target }) => target !== hold.target);
    return right({ ...content, holds: [...others, hold] });
  };
}

/** Ends the decision of an operator about a target. */
export function releaseTarget(target: string): Edit {
  return (content) =>
    right({ ...content, holds: content.holds.filter((hold) => hold.target !== target) });
}

/** Pauses an automatic action and drops pauses that are over. */
export function pause(document: PauseDocument, now: Date): Edit {
  return (content) => {
    const others = content.pauses.filter(
      ({ automation, service, expires }) =>
        new Date(expires) > now &&
        (automation !== document.automation || service !== document.service),
    );
    return right({ ...content, pauses: [...others, document] });
  };
}

/** Ends the pause of an automatic action, for one service or for all. */
export function resume(automation: Automation, service: string | undefined): Edit {
  return (content) => {
    const rest = content.pauses.filter(
      (present) => present.automation !== automation || present.service !== service,
    );
    return right({ ...content, pauses: rest });
  };
}
