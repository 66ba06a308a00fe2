// What a host names of the list that it follows. Changes since a revision of the source are enough only while the list is what the source
// sent: a host that has learned of servers elsewhere may know one that its source never had, and whose removal the source can't report.
import type { RegistryState } from './serverRegistry.js'

export interface FollowedList {
  /** Revision of the source's list that was applied last. */
  sourceRevision: number
  /** Revision of the own list after that. */
  ownRevision: number
}

/** Creates the state of a host that has followed no list. */
export function createFollowedList (): FollowedList {
  return { sourceRevision: 0, ownRevision: 0 }
}

/** Records that an answer of the source with this revision of its list has been applied. */
export function recordFollowedList (followed: FollowedList, sourceRevision: number, own: RegistryState): void {
  followed.sourceRevision = sourceRevision
  followed.ownRevision = own.revision
}

/** The revision of the source to name; 0 if the own list has changed since for another reason and has to be compared with the whole one. */
export function readFollowedRevision ({ sourceRevision, ownRevision }: FollowedList, own: RegistryState): number {
  return ownRevision === own.revision ? sourceRevision : 0
}
