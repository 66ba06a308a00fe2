// Checks the messages of other hosts. A call may be answered long after it came, where no error of its fields would be handled.
import type { ReportedSends } from './failureReports.js'
import type { ForwardingOfferRequest, Member, PermitRequest, SyncRequest } from './peerMessages.js'

/** Whether a message has a member, which all calls need. */
export function isCallMessage (message: unknown): boolean {
  const { name, dataCentre, guestAddress, peerAddress, processorShare } = ((message as SyncRequest | null)?.member ?? {}) as Partial<Member>
  return [name, dataCentre, guestAddress, peerAddress].every(field => typeof field === 'string') && typeof processorShare === 'number'
}

export function isPermitRequest ({ service, excluded, server, limits, waitMilliseconds, isUrgent }: Partial<PermitRequest>): boolean {
  return typeof service === 'string' && Array.isArray(excluded) && (server === undefined || typeof server === 'string') &&
    Array.isArray(limits) && typeof waitMilliseconds === 'number' && typeof isUrgent === 'boolean'
}

export function isForwardingOfferRequest ({ service, configurationVersion }: Partial<ForwardingOfferRequest>): boolean {
  return typeof service === 'string' && Number.isSafeInteger(configurationVersion)
}

export function isSendReport ({ server, sends, failures }: ReportedSends): boolean {
  return typeof server === 'string' && Number.isFinite(sends) && Number.isFinite(failures) && failures >= 0 && sends >= failures
}

const textFields = ['sourceBoot', 'registryDigest', 'membersDigest'] as const
const numberFields = ['configurationVersion', 'registryRevision', 'membersRevision', 'limitsRevision', 'waitMilliseconds'] as const
const optionalNumberFields = ['leavingRevision', 'crashesRevision'] as const
/** Reports of limits and leaving servers are checked one by one where they are applied. */
const optionalListFields = ['crashSuspects', 'sendReport'] as const

/** Whether the fields of a call for changes have their types. Those that an older program does not send may be absent. */
export function isSyncRequest (request: Partial<SyncRequest>): boolean {
  return textFields.every(field => typeof request[field] === 'string') &&
    numberFields.every(field => Number.isFinite(request[field])) &&
    optionalNumberFields.every(field => request[field] === undefined || Number.isFinite(request[field])) &&
    optionalListFields.every(field => request[field] === undefined || Array.isArray(request[field]))
}
