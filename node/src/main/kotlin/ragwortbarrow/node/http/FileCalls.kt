package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.content.PartData
import io.ktor.http.content.forEachPart
import io.ktor.server.request.contentLength
import io.ktor.server.request.contentType
import io.ktor.server.request.receiveMultipart
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import ragwortbarrow.core.batch.BatchFile
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import java.io.IOException

/** Stores an uploaded file. The form has the fields `file` and `purpose`, as sent by OpenAI clients. */
internal suspend fun ServedCall.createFile(): Result<Unit, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val upload = readUpload(deps.fileLimitBytes).getOrElse { return Err(it) }
    val file = deps.batch.createFile(grant.customer, upload.fileName, upload.content).getOrElse { return Err(it) }
    return respondJson(file.toJson())
}

internal suspend fun ServedCall.getFile(fileId: String): Result<Unit, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val file = deps.batch.file(grant.customer, fileId).getOrElse { return Err(it) }
    return respondJson(file.toJson())
}

internal suspend fun ServedCall.getFileContent(fileId: String): Result<Unit, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val content = deps.batch.fileContent(grant.customer, fileId).getOrElse { return Err(it) }
    call.respondBytes(content, ContentType.Application.OctetStream)
    return Ok(Unit)
}

internal suspend fun ServedCall.respondJson(json: JsonObject): Result<Unit, ServingError> =
    Ok(call.respondText(json.toString(), ContentType.Application.Json))

private class Upload(val fileName: String, val content: ByteArray)

private suspend fun ServedCall.readUpload(limitBytes: Long): Result<Upload, ServingError> {
    val type = runCatching { call.request.contentType() }.getOrDefault(ContentType.Any)
    if (!type.match(ContentType.MultiPart.FormData)) return invalid("file", "must come as multipart/form-data")
    if ((call.request.contentLength() ?: 0) > limitBytes + FORM_OVERHEAD_BYTES) return Err(fileTooLarge(limitBytes))
    var purpose: String? = null
    var upload: Upload? = null
    try {
        call.receiveMultipart(formFieldLimit = limitBytes + FORM_OVERHEAD_BYTES).forEachPart { part ->
            when {
                part is PartData.FormItem && part.name == "purpose" -> purpose = part.value

                part is PartData.FileItem && part.name == "file" -> upload = Upload(
                    fileName = part.originalFileName ?: "file",
                    content = part.provider().readRemaining(limitBytes + 1).readByteArray(),
                )
            }
            part.release()
        }
    } catch (fault: IOException) {
        return invalid("file", "cannot be read: ${fault.message}")
    }
    val file = upload ?: return invalid("file", "is missing")
    return when {
        purpose != "batch" -> invalid("purpose", "must be 'batch'")
        file.content.size > limitBytes -> Err(fileTooLarge(limitBytes))
        else -> Ok(file)
    }
}

private fun fileTooLarge(limitBytes: Long) =
    ServingError.InvalidRequest(ResultCode.BODY_TOO_LARGE, "the file has more than $limitBytes bytes")

private fun BatchFile.toJson(): JsonObject = buildJsonObject {
    put("id", id)
    put("object", "file")
    put("bytes", sizeBytes)
    put("created_at", createdAtMillis / 1_000)
    put("filename", fileName)
    put("purpose", "batch")
    put("status", "processed")
}

/** Allowance for the multipart boundaries and the other form fields. */
private const val FORM_OVERHEAD_BYTES = 65_536L
