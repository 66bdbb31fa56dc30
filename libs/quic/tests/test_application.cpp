#include "test_application.h"

#include "gaugevalve/base/random_source.h"

namespace gaugevalve::quic::testing {
namespace {

constexpr std::size_t kWriteSize = 10'000;
constexpr std::string_view kObject = "/object/";
constexpr std::string_view kLateEnd = "/late-end/";

class TestHandler final : public RequestHandler {
 public:
  TestHandler(std::shared_ptr<ServedRequest> request, std::string content)
      : request_(std::move(request)), content_(std::move(content)) {
    request_->unsent = content_.size();
  }
  ~TestHandler() override { request_->is_destroyed = true; }
  TestHandler(const TestHandler&) = delete;
  TestHandler& operator=(const TestHandler&) = delete;

  void OnBody(std::span<const std::uint8_t> bytes) override {
    request_->body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    if (request_->head.path != "/slow") {
      request_->writer->ConsumeBody(bytes.size());
    }
  }

  void OnBodyEnd() override {
    request_->is_whole = true;
    if (request_->head.path == "/echo") {
      request_->writer->SendHead({200, {{"content-type", "text/plain"}}});
      request_->writer->WriteBody(BytesOf(request_->body));
      request_->writer->Finish();
    } else if (request_->head.path == "/stamped") {
      request_->writer->SendHead({200, {{"server", request_->body}}});
      request_->writer->Finish();
    } else if (request_->head.path.starts_with(kLateEnd)) {
      request_->writer->SendHead({200, {}});
      const bool has_room = request_->writer->WriteBody(BytesOf(content_));
      request_->unsent = 0;
      if (has_room) {
        request_->writer->Finish();
      }
    } else if (!content_.empty()) {
      request_->writer->SendHead({200, {{"content-length", std::to_string(content_.size())}}});
      OnWritable();
    }
  }

  void OnWritable() override {
    bool has_room = true;
    while (has_room && request_->unsent > 0) {
      const std::size_t offset = content_.size() - request_->unsent;
      const std::string_view part = std::string_view(content_).substr(offset, kWriteSize);
      has_room = request_->writer->WriteBody(BytesOf(part));
      request_->unsent -= part.size();
    }
    if (request_->largest_burst == 0) {
      request_->largest_burst = content_.size() - request_->unsent;
    }
    if (request_->unsent == 0 && !content_.empty()) {
      request_->writer->Finish();
    }
  }

  void OnCancelled(Http3Error error) override { request_->cancelled = error; }

 private:
  std::shared_ptr<ServedRequest> request_;
  std::string content_;
};

class RecordingHandler final : public ResponseHandler {
 public:
  explicit RecordingHandler(std::shared_ptr<Answer> answer) : answer_(std::move(answer)) {}
  void OnHead(const ResponseHead& head) override { answer_->head = head; }
  void OnBody(std::span<const std::uint8_t> bytes) override {
    answer_->body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  }
  void OnEnd() override { answer_->is_whole = true; }
  void OnFailed(const RequestFailure& failure) override { answer_->failure = failure; }

 private:
  std::shared_ptr<Answer> answer_;
};

}  // namespace

std::string Pattern(std::size_t size, std::uint64_t seed) {
  base::RandomSource random(seed);
  std::string text(size, '\0');
  for (char& character : text) {
    character = static_cast<char>('a' + random.NextBelow(26));
  }
  return text;
}

std::unique_ptr<RequestHandler> TestApplication::OnRequest(const RequestHead& head,
                                                           const Path& path,
                                                           ResponseWriter& writer) {
  std::string content;
  for (const std::string_view prefix : {kObject, kLateEnd}) {
    if (head.path.starts_with(prefix)) {
      const std::size_t size = std::stoul(head.path.substr(prefix.size()));
      content = Pattern(size, size);
    }
  }
  auto request = std::make_shared<ServedRequest>();
  request->head = head;
  request->path = path;
  request->writer = &writer;
  requests_.push_back(request);
  return std::make_unique<TestHandler>(std::move(request), std::move(content));
}

std::unique_ptr<ResponseHandler> Record(std::shared_ptr<Answer> answer) {
  return std::make_unique<RecordingHandler>(std::move(answer));
}

}  // namespace gaugevalve::quic::testing
