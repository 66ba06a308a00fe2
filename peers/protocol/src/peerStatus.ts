// Response of the Status call: the current boot of a host and its active bundle.
import { create } from '@bufbuild/protobuf'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { packBytes, unpackBytes, unpackCount } from './compactFields.js'
import { StatusResponseSchema, type StatusResponse } from './generated/siskinbeam/peer/v1/peer_pb.js'

const bootIdBytes = 8
const digestBytes = 32

/** Status of one host for operators. */
export interface PeerStatus {
  host: string
  bootId: string
  /** 0 if there is no bundle. */
  bundleVersion: number
  /** 64 hexadecimal digits, empty if there is no bundle. */
  bundleDigest: string
  signers: string[]
  leaving: boolean
  inFlight: number
  /** Time since the host last reached the store or a peer, 0 if it is not isolated. */
  isolatedMilliseconds: number
}

/** Converts a status to protobuf. */
export function packPeerStatus (status: PeerStatus): StatusResponse {
  return create(StatusResponseSchema, {
    ...status,
    bootId: packBytes(status.bootId),
    bundleVersion: BigInt(status.bundleVersion),
    bundleDigest: packBytes(status.bundleDigest),
    isolatedMilliseconds: BigInt(Math.round(status.isolatedMilliseconds))
  })
}

/** Validates and converts a received status. Fails with MalformedRequest; `key` is the name of the invalid field. */
export function unpackPeerStatus (wire: StatusResponse): Result<PeerStatus> {
  try {
    return succeed({
      host: wire.host,
      bootId: unpackBytes('boot_id', wire.bootId, bootIdBytes),
      bundleVersion: unpackCount('bundle_version', wire.bundleVersion),
      bundleDigest: wire.bundleDigest.length === 0 ? '' : unpackBytes('bundle_digest', wire.bundleDigest, digestBytes),
      signers: wire.signers,
      leaving: wire.leaving,
      inFlight: wire.inFlight,
      isolatedMilliseconds: unpackCount('isolated_milliseconds', wire.isolatedMilliseconds)
    })
  } catch (error) {
    if (error instanceof RangeError) return fail(ResultCode.MalformedRequest, 'the status has a field out of range', { key: error.message })
    throw error
  }
}
