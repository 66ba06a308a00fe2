// Maps the reason for which the bytes of a connection were rejected to the result code of the response.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Rejection } from './guardServer.js'
import { HeadFault } from './headGuard.js'

const codesByFault: Partial<Record<HeadFault, ResultCode>> = {
  [HeadFault.HeadSize]: ResultCode.HeadersTooLarge,
  [HeadFault.Framing]: ResultCode.AmbiguousFraming
}
const codesByParserError: Record<string, ResultCode> = {
  HPE_HEADER_OVERFLOW: ResultCode.HeadersTooLarge,
  HPE_UNEXPECTED_CONTENT_LENGTH: ResultCode.AmbiguousFraming,
  HPE_INVALID_CONTENT_LENGTH: ResultCode.AmbiguousFraming,
  HPE_INVALID_TRANSFER_ENCODING: ResultCode.AmbiguousFraming
}

/** Returns the result code of a rejection. */
export function findRejectionCode ({ fault, parserError = '' }: Rejection): ResultCode {
  return (fault === undefined ? codesByParserError[parserError] : codesByFault[fault]) ?? ResultCode.MalformedRequest
}
