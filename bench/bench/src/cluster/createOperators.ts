// The operators of a run: an author and an approver, with keys generated for the run, who sign bundles and update
// the bundle head in the table service.
import { createObjectClient } from '@siskinbeam/clients/createObjectClient'
import { createTableClient } from '@siskinbeam/clients/createTableClient'
import { formatCodedError, type Result } from '@siskinbeam/result-codes/codedError'
import { headKey, formatBodyKey } from '@siskinbeam/rollout/bundleStores'
import type { BundleInput } from '@siskinbeam/schema/bundle'
import { signBundle } from '@siskinbeam/signatures/signBundle'
import { createSignedBundle, serializeSignedBundle, SignerRole } from '@siskinbeam/signatures/signedBundle'
import { createSigningKeyPair } from '@siskinbeam/signatures/signingKeys'

/** The operators of a run. */
export interface Operators {
  trustedKeys: string[]
  /** Signs and rolls out a bundle, and returns its digest. Sets its version and previous digest. Rejects if a step fails. */
  rollOut: (bundle: BundleInput) => Promise<string>
  getHead: () => { version: number, digest: string | null }
  close: () => void
}

export interface CreateOperatorsOptions {
  tableAddress: string
  objectStoreAddress: string
}

/** Creates operators with newly generated keys. */
export function createOperators ({ tableAddress, objectStoreAddress }: CreateOperatorsOptions): Operators {
  const [author, approver] = [createSigningKeyPair(), createSigningKeyPair()]
  const table = createTableClient({ address: tableAddress })
  const objects = createObjectClient({ address: objectStoreAddress })
  let head: { version: number, digest: string | null } = { version: 0, digest: null }
  let revision: number | null = null

  return {
    trustedKeys: [author.publicKey, approver.publicKey],
    getHead: () => head,
    rollOut: async input => {
      const body = { ...input, version: head.version + 1, previousDigest: head.digest }
      const created = unwrapResult(createSignedBundle(body))
      const signed = unwrapResult(signBundle({ document: created, role: SignerRole.Author, privateKey: author.privateKey }))
      const approved = unwrapResult(signBundle({ document: signed, role: SignerRole.Approver, privateKey: approver.privateKey }))
      unwrapResult(await objects.put({ key: formatBodyKey(approved.digest), bytes: serializeSignedBundle(approved), ifAbsent: false }))
      const committed = unwrapResult(await table.transact([{
        kind: 'put', key: headKey, value: { version: body.version, digest: approved.digest }, expectedVersion: revision, expiresAtMilliseconds: null
      }]))
      revision = committed.versions.get(headKey) ?? null
      head = { version: body.version, digest: approved.digest }
      return approved.digest
    },
    close: () => {
      table.close()
      objects.close()
    }
  }
}

function unwrapResult<Value> (result: Result<Value>): Value {
  if (result.ok) return result.value
  throw new Error(formatCodedError(result.error))
}
