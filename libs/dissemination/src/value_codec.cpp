#include "gaugevalve/dissemination/value_codec.h"

#include <zstd.h>

#include <memory>
#include <stdexcept>

namespace gaugevalve::dissemination {
namespace {

constexpr int kCompressionLevel = 3;

struct CompressorDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct DecompressorDeleter {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

std::string Compress(std::string_view value, std::string_view dictionary) {
  const std::unique_ptr<ZSTD_CCtx, CompressorDeleter> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_refPrefix(context.get(), dictionary.data(), dictionary.size());
  std::string compressed(ZSTD_compressBound(value.size()), '\0');
  const std::size_t size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(),
                                          value.data(), value.size());
  if (ZSTD_isError(size) != 0U) {
    throw std::runtime_error(std::string("zstd: ") + ZSTD_getErrorName(size));
  }
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Decompress(std::string_view compressed, std::string_view dictionary,
                                      std::size_t max_bytes) {
  const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  const bool known = size != ZSTD_CONTENTSIZE_ERROR && size != ZSTD_CONTENTSIZE_UNKNOWN;
  if (!known || size > max_bytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, DecompressorDeleter> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), dictionary.data(), dictionary.size());
  std::string value(size, '\0');
  const std::size_t written = ZSTD_decompressDCtx(context.get(), value.data(), value.size(),
                                                  compressed.data(), compressed.size());
  if (ZSTD_isError(written) != 0U || written != size) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string CompressValue(std::string_view value) { return Compress(value, {}); }

std::optional<std::string> DecompressValue(std::string_view compressed, std::size_t max_bytes) {
  return Decompress(compressed, {}, max_bytes);
}

std::string MakePatch(std::string_view base, std::string_view value) {
  return Compress(value, base);
}

std::optional<std::string> ApplyPatch(std::string_view base, std::string_view patch,
                                      std::size_t max_bytes) {
  return Decompress(patch, base, max_bytes);
}

}  // namespace gaugevalve::dissemination
